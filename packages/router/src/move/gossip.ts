import type { Withdrawal } from '@mimosamill/core';

/** Spreads withdrawals to all routers; implemented by the membership's messages. */
export interface WithdrawalGossip {
  readonly publish: (item: Withdrawal) => void;
  readonly onItem: (fn: (item: Withdrawal) => void) => void;
}
