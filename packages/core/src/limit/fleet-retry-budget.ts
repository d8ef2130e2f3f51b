import { createWindowCounter } from './window-counter';
import type { HostId } from '../ids';

/** Requests and retries of one router since its start. */
export interface RetryTotals {
  readonly requests: number;
  readonly retries: number;
}

/** Routers that share the budget. */
export interface FleetSize {
  /** All routers that may run, this one included. */
  readonly known: number;
  /** Those of them whose messages arrive, this one included. */
  readonly heard: number;
}

export interface FleetRetryBudgetSettings {
  /** Retries that a service may get in a window, as a part of its requests and beside it. */
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * One retry budget of a service for all routers, without a shared counter. Each router counts its own
 * retries and those that the others report. Within the time in which reports are under way a router
 * takes no more than its even share of what is left, so that all together take no more than that, even
 * when all lose their streams at the same moment.
 */
export interface FleetRetryBudget {
  readonly onRequest: (nowMs: number) => void;
  /** Takes one retry; false if none is left for this router now. */
  readonly tryTake: (nowMs: number) => boolean;
  /** Retries that this router may take now. */
  readonly available: (nowMs: number) => number;
  readonly ownTotals: () => RetryTotals;
  /** What another router reports; totals of a restarted router begin anew. */
  readonly onPeerTotals: (
    hostId: HostId,
    incarnationId: string,
    totals: RetryTotals,
    nowMs: number,
  ) => void;
}

/** Kept free for retries that are counted later than they arrive, and for windows that slide. */
const USED_RATIO = 0.75;
/** Time until the others know of a retry: the batch delay of a large fleet, and the network. */
const UNSEEN_MS = 250;
const STEP_MS = 250;
/** Windows of requests that are looked at: the present one and the one before it. */
const KEPT_WINDOWS = 2;
/** Part of the slack that a router uses right after its start, when it does not know what was used. */
const START_SLACK_RATIO = 0.3;
/** A router that is first heard of later than this after the own start has just started itself. */
const FIRST_REPORTS_MS = 3_000;

interface KnownTotals extends RetryTotals {
  readonly incarnationId: string;
}

export function createFleetRetryBudget(
  settings: FleetRetryBudgetSettings,
  fleetSize: () => FleetSize,
  random: () => number,
  startedAtMs: number,
): FleetRetryBudget {
  const { ratio, slack, windowMs } = settings;
  const keptMs = windowMs * KEPT_WINDOWS;
  const requests = createWindowCounter(keptMs, STEP_MS);
  const retries = createWindowCounter(keptMs, STEP_MS);
  const peers = new Map<HostId, KnownTotals>();
  let totals: RetryTotals = { requests: 0, retries: 0 };
  /** Times of this router's retries that the others may not know of yet. */
  let unseenAtMs: number[] = [];
  /** Decides whether a part of a retry is taken; kept, so that asking and taking agree. */
  let draw = random();
  let drawnAtMs = startedAtMs;
  /**
   * Factor of the share of a router that had too little of it: doubles while reports show that the
   * others leave theirs.
   */
  let boost = 1;
  let hadTooLittle = false;

  function onUsed(added: RetryTotals, nowMs: number): void {
    if (added.requests > 0) requests.add(added.requests, nowMs);
    if (added.retries > 0) retries.add(added.retries, nowMs);
  }

  /** The window with most requests: retries may follow a crowd that has just gone. */
  function requestsInWindow(nowMs: number): number {
    const starts = [0, windowMs / 2, windowMs];
    return Math.max(...starts.map((ageMs) => requests.sum(ageMs, ageMs + windowMs, nowMs)));
  }

  function remaining({ known, heard }: FleetSize, nowMs: number): number {
    const upRatio = (nowMs - startedAtMs) / windowMs;
    const slackRatio = Math.min(1, START_SLACK_RATIO + (1 - START_SLACK_RATIO) * upRatio);
    const allowed = (ratio * requestsInWindow(nowMs) + slack * slackRatio) * USED_RATIO;
    // Routers that are not heard use their part of the budget without being counted here.
    const ownPart = heard / Math.max(known, heard);
    // One step more: the oldest step reaches into the window.
    return allowed * ownPart - retries.sum(0, windowMs + STEP_MS, nowMs);
  }

  function redraw(nowMs: number): void {
    draw = random();
    drawnAtMs = nowMs;
  }

  /** The others' retries of the interval before are known now. */
  function beginInterval(nowMs: number): void {
    boost = hadTooLittle ? boost * 2 : 1;
    hadTooLittle = false;
    redraw(nowMs);
  }

  /** Retries that this router may take until the others know of them. */
  function ownShare(nowMs: number): number {
    const size = fleetSize();
    const left = remaining(size, nowMs);
    if (left < 1) return 0;
    if (nowMs - drawnAtMs >= UNSEEN_MS) beginInterval(nowMs);
    unseenAtMs = unseenAtMs.filter((atMs) => nowMs - atMs < UNSEEN_MS);
    // Own retries are counted above, but those that the others took meanwhile are not.
    const part = Math.min(1, boost / size.heard);
    const share = (left + unseenAtMs.length) * part - unseenAtMs.length;
    const whole = Math.floor(share);
    const retriesNow = Math.max(0, whole + (draw < share - whole ? 1 : 0));
    hadTooLittle ||= retriesNow < 1;
    return retriesNow;
  }

  return {
    onRequest: (nowMs) => {
      totals = { ...totals, requests: totals.requests + 1 };
      requests.add(1, nowMs);
    },
    tryTake: (nowMs) => {
      if (ownShare(nowMs) < 1) return false;
      totals = { ...totals, retries: totals.retries + 1 };
      retries.add(1, nowMs);
      unseenAtMs.push(nowMs);
      redraw(nowMs);
      return true;
    },
    available: ownShare,
    ownTotals: () => totals,
    onPeerTotals: (hostId, incarnationId, reported, nowMs) => {
      const known = peers.get(hostId);
      peers.set(hostId, { ...reported, incarnationId });
      if (known?.incarnationId === incarnationId) {
        const added = {
          requests: reported.requests - known.requests,
          retries: reported.retries - known.retries,
        };
        onUsed(added, nowMs);
        return;
      }
      // Totals of a router that ran before this one may be of any age.
      if (known !== undefined || nowMs - startedAtMs > FIRST_REPORTS_MS) onUsed(reported, nowMs);
    },
  };
}
