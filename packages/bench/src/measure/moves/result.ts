/** How one simulated move went. */
export interface MoveResult {
  readonly finalState: 'done' | 'taken_back' | 'none';
  readonly isOnTime: boolean;
  /** Requests sent to a version whose fault had begun, and all requests. */
  readonly badRequests: number;
  readonly requests: number;
  /** From the first request that the fault hit to the last one sent to the bad version. */
  readonly takeBackMs: number | undefined;
  /** Ends reported; more than one, or two different ones, break the guarantee. */
  readonly reportCount: number;
  readonly hasBothOutcomes: boolean;
  /** Ended although the controllers could not know: routers stopped using the version. */
  readonly reason: string;
}

/** Counts requests sent to a bad version. */
export interface BadRequestCounter {
  readonly onRequest: () => void;
  readonly onNewVersion: (nowMs: number, isBadNow: boolean, isHit: boolean) => void;
  readonly badRequests: () => number;
  readonly requests: () => number;
  readonly takeBackMs: () => number | undefined;
}

export function createBadRequestCounter(): BadRequestCounter {
  let requests = 0;
  let badRequests = 0;
  let firstHitMs: number | undefined;
  let lastNewMs = 0;
  return {
    onRequest: () => {
      requests += 1;
    },
    onNewVersion: (nowMs, isBadNow, isHit) => {
      if (isBadNow) badRequests += 1;
      if (isHit) firstHitMs ??= nowMs;
      lastNewMs = nowMs;
    },
    badRequests: () => badRequests,
    requests: () => requests,
    takeBackMs: () => (firstHitMs === undefined ? undefined : Math.max(0, lastNewMs - firstHitMs)),
  };
}
