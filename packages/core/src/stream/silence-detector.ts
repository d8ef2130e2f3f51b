/** Weight of the newest gap in the moving averages. */
const SMOOTHING_RATIO = 0.1;
const MEAN_GAP_FACTOR = 8;
const DEVIATION_FACTOR = 6;

export interface SilenceTimeouts {
  /** Limits of the allowed gap between tokens. */
  readonly minMs: number;
  readonly maxMs: number;
  /** Allowed wait for the first token of the first attempt. */
  readonly firstTokenMs: number;
  /**
   * Allowed wait for the first token of a later attempt. Several such waits have to fit into the
   * time limit on a resume.
   */
  readonly resumeFirstTokenMs: number;
}

/**
 * Tells when an attempt counts as silent. The allowed gap between tokens follows from the mean and
 * the deviation of the stream's own gaps.
 */
export interface SilenceDetector {
  readonly onToken: (nowMs: number) => void;
  /** An engine is being chosen for an attempt; until it is sent, nothing counts as silent. */
  readonly onAttemptPlacing: () => void;
  /** An attempt was sent: the wait for its first token is not a gap. */
  readonly onAttemptSent: (nowMs: number, isFirst: boolean) => void;
  readonly meanGapMs: () => number;
  /** Time of the last token or, while a first token is awaited, of the send. */
  readonly lastActivityAtMs: () => number;
  /** Time from which the attempt counts as silent; Infinity until it has been sent. */
  readonly silentAtMs: () => number;
}

export function createSilenceDetector(
  timeouts: SilenceTimeouts,
  startedAtMs: number,
): SilenceDetector {
  let lastMs = startedAtMs;
  let meanMs = 0;
  let deviationMs = 0;
  let isWaitingForFirst = true;
  let waitMs = timeouts.firstTokenMs;
  let isPlacing = false;

  function recordGap(gapMs: number): void {
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
    const byGapsMs = Math.max(MEAN_GAP_FACTOR * meanMs, meanMs + DEVIATION_FACTOR * deviationMs);
    return Math.min(timeouts.maxMs, Math.max(timeouts.minMs, byGapsMs));
  }

  return {
    onToken: (nowMs) => {
      if (!isWaitingForFirst) recordGap(nowMs - lastMs);
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
      waitMs = isFirst ? timeouts.firstTokenMs : timeouts.resumeFirstTokenMs;
      lastMs = nowMs;
    },
    meanGapMs: () => meanMs,
    lastActivityAtMs: () => lastMs,
    silentAtMs: () => (isPlacing ? Infinity : lastMs + allowedMs()),
  };
}
