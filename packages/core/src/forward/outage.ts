/**
 * Tells an outage of the store from a loss of this process's own path to it: while another router
 * relays content that the store has confirmed since, the store was not away.
 */
export interface OutageTracker {
  /** A call of this process to the store failed. Returns false if the path was already lost. */
  readonly onStoreFailed: (nowMs: number) => boolean;
  /** The store answered this process; returns for how long the path had been lost, if it was. */
  readonly onStoreAnswered: (nowMs: number) => number | undefined;
  /**
   * A relay answered. `confirmedAtMs` is when the store confirmed its content, on the local clock;
   * `sinceOutageMs` is what the relay knows of outages.
   */
  readonly onRelayed: (confirmedAtMs: number, sinceOutageMs: number, nowMs: number) => void;
  /** The store came back from an older copy, so that it lost what was written since that copy. */
  readonly onRestored: (nowMs: number) => void;
  /** Whether the last call of this process to the store failed. */
  readonly isPathLost: () => boolean;
  /**
   * Time since the last outage before the content was read; Infinity if there was none. Content does
   * not change during an outage, so one that still lasts does not count.
   */
  readonly sinceOutageMs: (nowMs: number) => number;
}

export function createOutageTracker(): OutageTracker {
  let pathLostAtMs: number | undefined;
  /** When the store last confirmed the content, to this process or to a relay. */
  let confirmedAtMs = -Infinity;
  let outageEndMs = -Infinity;

  return {
    onStoreFailed: (nowMs) => {
      if (pathLostAtMs !== undefined) return false;
      pathLostAtMs = nowMs;
      return true;
    },
    onStoreAnswered: (nowMs) => {
      const lostAtMs = pathLostAtMs;
      if (lostAtMs !== undefined && confirmedAtMs < lostAtMs) outageEndMs = nowMs;
      confirmedAtMs = nowMs;
      pathLostAtMs = undefined;
      return lostAtMs === undefined ? undefined : nowMs - lostAtMs;
    },
    onRelayed: (atMs, sinceOutageMs, nowMs) => {
      if (atMs <= confirmedAtMs) return;
      // The relay may have lost only its own path; content confirmed since then shows that.
      const claimedEndMs = nowMs - sinceOutageMs;
      if (claimedEndMs > confirmedAtMs) outageEndMs = Math.max(outageEndMs, claimedEndMs);
      confirmedAtMs = atMs;
    },
    onRestored: (nowMs) => {
      outageEndMs = nowMs;
    },
    isPathLost: () => pathLostAtMs !== undefined,
    sinceOutageMs: (nowMs) => nowMs - outageEndMs,
  };
}
