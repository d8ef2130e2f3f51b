/** Weight of the newest gap in the moving averages. */
const SMOOTHING_RATIO = 0.1;
const MEAN_GAP_FACTOR = 8;
const DEVIATION_FACTOR = 6;

export interface SilenceTimeouts {
  readonly minMs: number;
  readonly maxMs: number;
  /** Allowed wait for the first token of the first attempt. */
  readonly firstTokenMs: number;
  /** The same for later attempts, which have to fit several times into the bound on a resume. */
  readonly resumeFirstTokenMs: number;
}

/** A stream's own token pace, from which the allowed silence follows. */
export interface SilenceDetector {
  readonly onToken: (nowMs: number) => void;
  /** An attempt is to be sent: until it is, the engine cannot be silent. */
  readonly onAttemptPlacing: () => void;
  /** An attempt was sent: the wait for its first token is not a gap. */
  readonly onAttemptSent: (nowMs: number, isFirst: boolean) => void;
  readonly meanGapMs: () => number;
  /** Time of the last token, or of the send that it is awaited from. */
  readonly lastActivityAtMs: () => number;
  /** Time from which the attempt counts as silent; Infinity until it has been sent. */
  readonly silentAtMs: () => number;
}

export function createSilenceDetector(
  bounds: SilenceTimeouts,
  startedAtMs: number,
): SilenceDetector {
  let lastMs = startedAtMs;
  let meanMs = 0;
  let deviationMs = 0;
  let isWaitingForFirst = true;
  let waitMs = bounds.firstTokenMs;
  let isPlacing = false;

  function learn(gapMs: number): void {
    if (meanMs === 0) {
      meanMs = gapMs;
      deviationMs = gapMs / 2;
      return;
    }
    const errorMs = Math.abs(gapMs - meanMs);
    meanMs += SMOOTHING_RATIO * (gapMs - meanMs);
    deviationMs += SMOOTHING_RATIO * (errorMs - deviationMs);
  }

  function allowedMs(): number {
    if (isWaitingForFirst) return waitMs;
    const byPaceMs = Math.max(MEAN_GAP_FACTOR * meanMs, meanMs + DEVIATION_FACTOR * deviationMs);
    return Math.min(bounds.maxMs, Math.max(bounds.minMs, byPaceMs));
  }

  return {
    onToken: (nowMs) => {
      if (!isWaitingForFirst) learn(nowMs - lastMs);
      isWaitingForFirst = false;
      isPlacing = false;
      lastMs = nowMs;
    },
    onAttemptPlacing: () => {
      isPlacing = true;
    },
    onAttemptSent: (nowMs, isFirst) => {
      isPlacing = false;
      isWaitingForFirst = true;
      waitMs = isFirst ? bounds.firstTokenMs : bounds.resumeFirstTokenMs;
      lastMs = nowMs;
    },
    meanGapMs: () => meanMs,
    lastActivityAtMs: () => lastMs,
    silentAtMs: () => (isPlacing ? Infinity : lastMs + allowedMs()),
  };
}
