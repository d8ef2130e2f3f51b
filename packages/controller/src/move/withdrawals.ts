import type { Clock, HttpClient } from '@mimosamill/adapters';
import type { MoveRecord, Withdrawal } from '@mimosamill/core';

/** Polls the router on this host for the versions that the routers have withdrawn. */
export interface WithdrawalPoller {
  readonly poll: () => Promise<void>;
  /** Why the new version of the move was withdrawn; undefined if it was not. */
  readonly withdrawalReason: (move: MoveRecord) => string | undefined;
  /** False if the last answer of the router is too old for a running move to advance. */
  readonly isFresh: () => boolean;
}

/** Age above which the list of withdrawals counts as out of date. */
const MAX_LIST_AGE_MS = 5_000;
const REQUEST_TIMEOUT_MS = 1_000;
const STATUS_OK = 200;

export function createWithdrawalPoller(
  http: HttpClient,
  routerPeerAddress: string,
  clock: Clock,
): WithdrawalPoller {
  const url = `http://${routerPeerAddress}/moves.withdrawals`;
  let withdrawals: readonly Withdrawal[] = [];
  let readAtMs = Number.NEGATIVE_INFINITY;
  return {
    poll: async () => {
      const sentAtMs = clock.monotonicMs();
      const answer = await http.fetch(url, { method: 'GET', timeoutMs: REQUEST_TIMEOUT_MS });
      if (answer.kind !== 'ok' || answer.status !== STATUS_OK) return;
      withdrawals = (JSON.parse(answer.body) as { result: { data: Withdrawal[] } }).result.data;
      readAtMs = sentAtMs;
    },
    withdrawalReason: (move) => {
      const isOfMove = (withdrawal: Withdrawal): boolean =>
        withdrawal.service === move.service && withdrawal.version === move.toVersion;
      const found = withdrawals.find(isOfMove);
      return found === undefined ? undefined : `withdrawn: ${found.reason}`;
    },
    isFresh: () => clock.monotonicMs() - readAtMs <= MAX_LIST_AGE_MS,
  };
}
