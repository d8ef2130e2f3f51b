import type { Clock, HttpClient } from '@mimosamill/adapters';
import type { MoveRecord, Withdrawal } from '@mimosamill/core';

/** The withdrawals that the router on this host knows. */
export interface WithdrawalPoller {
  readonly poll: () => Promise<void>;
  readonly withdrawalReason: (move: MoveRecord) => string | undefined;
  /** False when the router has not answered lately; a move then goes no further. */
  readonly isFresh: () => boolean;
}

const MAX_LIST_AGE_MS = 5_000;
const REQUEST_TIMEOUT_MS = 1_000;
const STATUS_OK = 200;

export function createWithdrawalPoller(
  http: HttpClient,
  routerPeerAddress: string,
  clock: Clock,
): WithdrawalPoller {
  const url = `http://${routerPeerAddress}/moves.withdrawals`;
  let items: readonly Withdrawal[] = [];
  let readAtMs = Number.NEGATIVE_INFINITY;
  return {
    poll: async () => {
      const sentAtMs = clock.monotonicMs();
      const answer = await http.fetch(url, { method: 'GET', timeoutMs: REQUEST_TIMEOUT_MS });
      if (answer.kind !== 'ok' || answer.status !== STATUS_OK) return;
      items = (JSON.parse(answer.body) as { result: { data: Withdrawal[] } }).result.data;
      readAtMs = sentAtMs;
    },
    withdrawalReason: (move) => {
      const isSame = (item: Withdrawal): boolean =>
        item.service === move.service && item.version === move.toVersion;
      const found = items.find(isSame);
      return found === undefined ? undefined : `withdrawn: ${found.reason}`;
    },
    isFresh: () => clock.monotonicMs() - readAtMs <= MAX_LIST_AGE_MS,
  };
}
