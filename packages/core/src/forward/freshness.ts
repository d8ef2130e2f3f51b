/** How old a process's knowledge of the store is, on clocks that may stop or jump. */
export interface FreshnessTracker {
  /**
   * The store answered. `sentAtMs` is when the call left, `storeNowMs` the store's own steady clock
   * at the answer.
   */
  readonly onAnswer: (sentAtMs: number, storeNowMs: number) => void;
  /**
   * Another process passed on what it knows; the content is of the store's clock at `storeAsOfMs`.
   * It counts only once the store itself has answered, which ties its clock to the local one.
   */
  readonly onRelayed: (storeAsOfMs: number) => void;
  /** The store's clock at the time that the knowledge is of; undefined if nothing is known. */
  readonly storeAsOfMs: () => number | undefined;
  /** Age of the newest answer's content; Infinity if nothing is known. */
  readonly ageMs: (nowMs: number) => number;
  /**
   * Compares both clocks since the last call. A steady clock does not count a suspension, so a
   * difference makes the age unknown until the store answers a call sent after it.
   */
  readonly checkClocks: (nowMs: number, wallMs: number) => ClockCheck;
}

export type ClockCheck =
  | { readonly kind: 'ok' }
  /** The wall clock moved by this much more than the steady one. */
  | { readonly kind: 'discrepancy'; readonly differenceMs: number };

/** Differences below this come from slewing and from reading two clocks one after the other. */
const CLOCK_TOLERANCE_MS = 200;

interface ClockPair {
  readonly sentAtMs: number;
  readonly storeNowMs: number;
}

export function createFreshnessTracker(): FreshnessTracker {
  let asOfMs = -Infinity;
  let validFromMs = -Infinity;
  /** The pair whose prediction of the store's clock is the latest, hence the tightest bound. */
  let anchor: ClockPair | undefined;
  let lastClocks: { readonly nowMs: number; readonly wallMs: number } | undefined;

  return {
    onAnswer: (sentAtMs, storeNowMs) => {
      // An answer to a call from before a clock discrepancy says nothing about its age.
      if (sentAtMs < validFromMs) return;
      const predictedMs =
        anchor === undefined ? -Infinity : anchor.sentAtMs + storeNowMs - anchor.storeNowMs;
      const isRestarted = anchor !== undefined && storeNowMs < anchor.storeNowMs;
      if (isRestarted || sentAtMs >= predictedMs) anchor = { sentAtMs, storeNowMs };
      const boundMs = isRestarted ? sentAtMs : Math.max(sentAtMs, predictedMs);
      asOfMs = Math.max(asOfMs, boundMs);
    },
    onRelayed: (storeAsOfMs) => {
      if (anchor === undefined) return;
      asOfMs = Math.max(asOfMs, anchor.sentAtMs + storeAsOfMs - anchor.storeNowMs);
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

/** Bounds on the age of what a decision rests on. */
export interface FreshnessBounds {
  /** A request with a key is served only on knowledge younger than this. */
  readonly serveMaxAgeMs: number;
  /** A request is refused for good only on knowledge younger than this. */
  readonly denyMaxAgeMs: number;
}
