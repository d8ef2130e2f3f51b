import type { MoveId, ServiceName, VersionName, Withdrawal } from '@mimosamill/core';
import type { MembershipService } from '../peer/membership';

/** Spreads withdrawals to all routers. */
export interface WithdrawalGossip {
  readonly publish: (item: Withdrawal) => void;
  readonly onWithdrawal: (fn: (item: Withdrawal) => void) => void;
}

const WITHDRAWAL_KIND = 'withdrawal';

/** Longer than any router keeps a configuration with the withdrawn version. */
const WITHDRAWAL_TTL_MS = 7 * 86_400_000;

/** The membership refuses items of more than 256 bytes; ids and names come first. */
const MAX_REASON_CHARS = 64;

type WithdrawalPayload = [string, string, string, string, string];

/** Carries withdrawals on the membership's messages. */
export function createWithdrawalGossip(
  peers: Pick<MembershipService, 'publish' | 'onGossipItem'>,
): WithdrawalGossip {
  return {
    publish: (item) => {
      const { moveId, service, version, fallback, reason } = item;
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
        const item = parsePayload(payload);
        if (item !== undefined) fn(item);
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
