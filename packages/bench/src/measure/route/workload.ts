import { createZipfSampler, exponential, intBelow } from '../random';
import { BLOCK_TOKENS } from './engine';
import type { RoutePriority } from '@mimosamill/core';
import type { Random } from '../random';

/** One arrival. */
export interface Arrival {
  readonly modelIndex: number;
  readonly routerIndex: number;
  readonly promptTokens: number;
  readonly sharedTokens: number;
  readonly blockKeys: readonly number[];
  readonly outputTokens: number;
  readonly priority: RoutePriority;
}

export const MODEL_COUNT = 20;
export const ENGINE_COUNT = 600;
/** 7% of generations run for minutes; the mean of all is the design page's 430 tokens. */
const LONG_RATIO = 0.07;
const LONG_TOKENS = 3_000;
const SHORT_MEAN_TOKENS = 237;
export const MEAN_OUTPUT_TOKENS = LONG_RATIO * LONG_TOKENS + (1 - LONG_RATIO) * SHORT_MEAN_TOKENS;
/** Prompts that start with one of the model's shared prefixes. */
const SHARED_PREFIX_RATIO = 0.7;
const PREFIXES_PER_MODEL = 200;
const MODEL_SKEW = 0.8;
const PREFIX_SKEW = 1;
const MEAN_OWN_TOKENS = 400;
const MAX_OWN_TOKENS = 4_000;

/** Engines per model, in proportion to the model's share of requests. */
export function engineCountsByModel(): number[] {
  const shares = Array.from({ length: MODEL_COUNT }, (_, rank) => (rank + 1) ** -MODEL_SKEW);
  const sum = shares.reduce((a, b) => a + b, 0);
  const counts = shares.map((share) => Math.floor((share / sum) * ENGINE_COUNT));
  const rest = ENGINE_COUNT - counts.reduce((a, b) => a + b, 0);
  return counts.map((count, at) => count + (at < rest ? 1 : 0));
}

/** Tokens left of a stream met at a random moment; long ones are met more often. */
export function residualTokens(random: Random): number {
  const isLong = random() < (LONG_RATIO * LONG_TOKENS) / MEAN_OUTPUT_TOKENS;
  if (isLong) return 1 + intBelow(LONG_TOKENS, random);
  return 1 + Math.floor(exponential(SHORT_MEAN_TOKENS, random));
}

/** Creates a generator of arrivals with skewed models and shared prefixes. */
export function createArrivalGenerator(routerCount: number, random: Random): () => Arrival {
  const pickModel = createZipfSampler(MODEL_COUNT, MODEL_SKEW);
  const pickPrefix = createZipfSampler(PREFIXES_PER_MODEL, PREFIX_SKEW);
  let uniqueCount = 0;

  function keysOf(seed: number, from: number, to: number): number[] {
    const keys: number[] = [];
    for (let at = from; at < to; at += 1) {
      // A fixed odd factor spreads consecutive numbers over 31 bits.
      keys.push(1 + (((seed * 4_099 + at + 1) * 2_654_435_761) % 2_147_483_629));
    }
    return keys;
  }

  function sharedTokensOf(prefix: number): number {
    return prefix < 0 ? 0 : 512 + ((prefix * 7_919) % 57) * BLOCK_TOKENS;
  }

  return () => {
    const modelIndex = pickModel(random);
    const prefix = random() < SHARED_PREFIX_RATIO ? pickPrefix(random) : -1;
    const sharedTokens = sharedTokensOf(prefix);
    const ownTokens = Math.min(
      MAX_OWN_TOKENS,
      32 + Math.floor(exponential(MEAN_OWN_TOKENS, random)),
    );
    const promptTokens = sharedTokens + ownTokens;
    const sharedBlocks = sharedTokens / BLOCK_TOKENS;
    uniqueCount += 1;
    const isLong = random() < LONG_RATIO;
    const draw = random();
    return {
      modelIndex,
      routerIndex: intBelow(routerCount, random),
      promptTokens,
      sharedTokens,
      blockKeys: [
        ...keysOf(modelIndex * PREFIXES_PER_MODEL + prefix, 0, sharedBlocks),
        ...keysOf(10_000 + uniqueCount, sharedBlocks, Math.floor(promptTokens / BLOCK_TOKENS)),
      ],
      outputTokens: isLong ? LONG_TOKENS : 1 + Math.floor(exponential(SHORT_MEAN_TOKENS, random)),
      priority: priorityOf(draw),
    };
  };
}

function priorityOf(draw: number): RoutePriority {
  if (draw < 0.1) return 'urgent';
  return draw < 0.9 ? 'normal' : 'batch';
}
