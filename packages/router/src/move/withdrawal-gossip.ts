import type { MoveId, ServiceName, VersionName, Withdrawal } from '@mimosamill/core';
import type { MembershipService } from '../peer/membership';

/** Publishes withdrawals to all routers and receives theirs. */
export interface WithdrawalGossip {
  readonly publish: (withdrawal: Withdrawal) => void;
  readonly onWithdrawal: (fn: (withdrawal: Withdrawal) => void) => void;
}

const WITHDRAWAL_KIND = 'withdrawal';

/** Longer than any router keeps a configuration that contains the withdrawn version. */
const WITHDRAWAL_TTL_MS = 7 * 86_400_000;

/** Gossip items are limited to 256 bytes, and ids and names must fit whole, so the reason is cut. */
const MAX_REASON_CHARS = 64;

type WithdrawalPayload = [string, string, string, string, string];

/** Sends withdrawals as gossip items of the membership service. */
export function createWithdrawalGossip(
  peers: Pick<MembershipService, 'publish' | 'onGossipItem'>,
): WithdrawalGossip {
  return {
    publish: (withdrawal) => {
      const { moveId, service, version, fallback, reason } = withdrawal;
      const payload: WithdrawalPayload = [
        moveId,
        service,
        version,
        fallback,
        reason.slice(0, MAX_REASON_CHARS),
      ];
      peers.publish({
        kind: WITHDRAWAL_KIND,
        key: moveId,
        payload: JSON.stringify(payload),
        ttlMs: WITHDRAWAL_TTL_MS,
      });
    },
    onWithdrawal: (fn) => {
      peers.onGossipItem(WITHDRAWAL_KIND, ({ payload }) => {
        const withdrawal = parsePayload(payload);
        if (withdrawal !== undefined) fn(withdrawal);
      });
    },
  };
}

function parsePayload(text: string): Withdrawal | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return undefined;
  }
  const isValid =
    Array.isArray(value) && value.length === 5 && value.every((part) => typeof part === 'string');
  if (!isValid) return undefined;
  const [moveId, service, version, fallback, reason] = value as WithdrawalPayload;
  return {
    moveId: moveId as MoveId,
    service: service as ServiceName,
    version: version as VersionName,
    fallback: fallback as VersionName,
    reason,
  };
}
