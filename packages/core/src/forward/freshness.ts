/** Age of the data that a process has from the store, measured on clocks that may stop or jump. */
export interface FreshnessTracker {
  /**
   * The store answered a call that was sent at `sentAtMs`; `storeNowMs` is the store's monotonic
   * clock at the answer.
   */
  readonly onAnswer: (sentAtMs: number, storeNowMs: number) => void;
  /**
   * The store answered a call about other data: relates its clock to the local one, and says nothing
   * about the age of the data.
   */
  readonly onClockRead: (sentAtMs: number, storeNowMs: number) => void;
  /** Whether the store's clock is related to the local one, so that relayed data counts. */
  readonly knowsStoreClock: () => boolean;
  /**
   * Another process relayed data that was current at `storeAsOfMs` on the store's clock. It counts
   * only once the store's clock is related to the local one.
   */
  readonly onRelayed: (storeAsOfMs: number) => void;
  /** The store was restored: times on its clock before and after that do not compare. */
  readonly onRestored: () => void;
  /** Time on the store's clock at which the data was current; undefined if that is unknown. */
  readonly storeAsOfMs: () => number | undefined;
  /** Upper bound on the age of the newest data; Infinity if it is unknown. */
  readonly ageMs: (nowMs: number) => number;
  /**
   * Compares the progress of the monotonic and the wall clock since the last check. The monotonic
   * clock stands still while the process is suspended, so a difference makes the age unknown until
   * the store answers a call that was sent after this check.
   */
  readonly checkClocks: (nowMs: number, wallMs: number) => ClockCheck;
}

export type ClockCheck =
  | { readonly kind: 'ok' }
  /** The wall clock advanced by this much more than the monotonic clock. */
  | { readonly kind: 'discrepancy'; readonly differenceMs: number };

/**
 * Smaller differences come from clock slewing and from reading the two clocks one after the other.
 */
const CLOCK_TOLERANCE_MS = 200;

interface ClockPair {
  readonly sentAtMs: number;
  readonly storeNowMs: number;
}

export function createFreshnessTracker(): FreshnessTracker {
  let asOfMs = -Infinity;
  let validFromMs = -Infinity;
  /** The clock pair that gives the tightest bound on the age of an answer. */
  let anchor: ClockPair | undefined;
  let lastClocks: { readonly nowMs: number; readonly wallMs: number } | undefined;

  /** Upper bound on the local time of the answer's content; undefined if it is unknown. */
  function relateClocks(sentAtMs: number, storeNowMs: number): number | undefined {
    // The call was sent before a clock discrepancy, so the age of its answer is unknown.
    if (sentAtMs < validFromMs) return undefined;
    const predictedMs =
      anchor === undefined ? -Infinity : anchor.sentAtMs + storeNowMs - anchor.storeNowMs;
    const isRestarted = anchor !== undefined && storeNowMs < anchor.storeNowMs;
    if (isRestarted || sentAtMs >= predictedMs) anchor = { sentAtMs, storeNowMs };
    return isRestarted ? sentAtMs : Math.max(sentAtMs, predictedMs);
  }

  return {
    onAnswer: (sentAtMs, storeNowMs) => {
      const boundMs = relateClocks(sentAtMs, storeNowMs);
      if (boundMs !== undefined) asOfMs = Math.max(asOfMs, boundMs);
    },
    onClockRead: (sentAtMs, storeNowMs) => {
      relateClocks(sentAtMs, storeNowMs);
    },
    knowsStoreClock: () => anchor !== undefined,
    onRelayed: (storeAsOfMs) => {
      if (anchor === undefined) return;
      asOfMs = Math.max(asOfMs, anchor.sentAtMs + storeAsOfMs - anchor.storeNowMs);
    },
    onRestored: () => {
      anchor = undefined;
    },
    storeAsOfMs: () => {
      if (anchor === undefined || asOfMs < validFromMs) return undefined;
      return anchor.storeNowMs + asOfMs - anchor.sentAtMs;
    },
    ageMs: (nowMs) => (asOfMs < validFromMs ? Infinity : nowMs - asOfMs),
    checkClocks: (nowMs, wallMs) => {
      const last = lastClocks;
      lastClocks = { nowMs, wallMs };
      if (last === undefined) return { kind: 'ok' };
      const differenceMs = wallMs - last.wallMs - (nowMs - last.nowMs);
      if (Math.abs(differenceMs) < CLOCK_TOLERANCE_MS) return { kind: 'ok' };
      validFromMs = nowMs;
      asOfMs = -Infinity;
      anchor = undefined;
      return { kind: 'discrepancy', differenceMs };
    },
  };
}

/** Largest ages of the data on which a decision may be based. */
export interface FreshnessBounds {
  /** A request with an API key is served only if the configuration is younger than this. */
  readonly serveMaxAgeMs: number;
  /** A request is refused permanently only if the configuration is younger than this. */
  readonly denyMaxAgeMs: number;
}
