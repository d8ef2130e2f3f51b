import type { RequestHead, RouteName } from './types';

/**
 * Tokens that streams of a route are expected to generate. They take KV cache like the prompt: in a
 * crowd, engines that are chosen by the prompts alone run out of memory while the streams go on.
 */
export interface OutputSizes {
  /** Counts the request among those of its route. */
  readonly onRequest: (route: RouteName, head: OutputBounds) => void;
  readonly expectedTokens: (route: RouteName, head: OutputBounds) => number;
}

export type OutputBounds = Pick<RequestHead, 'outputTokens' | 'lengthHint'>;

/** Weight of the newest hint in the moving average. */
const SMOOTHING_RATIO = 0.1;

export function createOutputSizes(): OutputSizes {
  const meanHints = new Map<RouteName, number>();

  return {
    onRequest: (route, { outputTokens, lengthHint }) => {
      if (lengthHint === undefined) return;
      const tokens = atMost(outputTokens, lengthHint);
      const mean = meanHints.get(route) ?? tokens;
      meanHints.set(route, mean + SMOOTHING_RATIO * (tokens - mean));
    },
    expectedTokens: (route, { outputTokens, lengthHint }) =>
      atMost(outputTokens, lengthHint ?? meanHints.get(route) ?? outputTokens),
  };
}

/** A request that does not state its most tokens has no bound. */
function atMost(outputTokens: number, tokens: number): number {
  return outputTokens > 0 ? Math.min(outputTokens, tokens) : tokens;
}
