/** Result of one simulated move. */
export interface MoveResult {
  readonly finalState: 'done' | 'taken_back' | 'none';
  readonly isOnTime: boolean;
  /** Requests sent to a version after its fault had begun, out of `requests`. */
  readonly badRequests: number;
  readonly requests: number;
  /** Time from the first request affected by the fault to the last one on the bad version. */
  readonly takeBackMs: number | undefined;
  /** Ends reported; more than one, or two different ones, violate the guarantee of one outcome. */
  readonly reportCount: number;
  readonly hasBothOutcomes: boolean;
  /** Why the move was taken back, or empty. */
  readonly reason: string;
}

/** Counts requests sent to a bad version. */
export interface BadRequestCounter {
  readonly onRequest: () => void;
  readonly onNewVersion: (nowMs: number, isBadNow: boolean, isAffectedByFault: boolean) => void;
  readonly badRequests: () => number;
  readonly requests: () => number;
  readonly takeBackMs: () => number | undefined;
}

export function createBadRequestCounter(): BadRequestCounter {
  let requests = 0;
  let badRequests = 0;
  let firstAffectedMs: number | undefined;
  let lastNewMs = 0;
  return {
    onRequest: () => {
      requests += 1;
    },
    onNewVersion: (nowMs, isBadNow, isAffectedByFault) => {
      if (isBadNow) badRequests += 1;
      if (isAffectedByFault) firstAffectedMs ??= nowMs;
      lastNewMs = nowMs;
    },
    badRequests: () => badRequests,
    requests: () => requests,
    takeBackMs: () =>
      firstAffectedMs === undefined ? undefined : Math.max(0, lastNewMs - firstAffectedMs),
  };
}
