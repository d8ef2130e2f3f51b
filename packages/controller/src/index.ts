// duties
export { runDuties } from './duties';
export type { Duties, Duty } from './duties';

// leases
export { createLeaseKeeper } from './lease/keeper';
export type { LeaseKeeper, LeaseKeeperSettings } from './lease/keeper';

// version moves
export { createEngineFleet } from './move/fleet';
export type { EngineFleet, FleetPorts, ServiceEngines } from './move/fleet';
export { createMoveRunner } from './move/runner';
export type { MoveRunner, MoveRunnerPorts } from './move/runner';
export { createVersionConfig } from './move/version-config';
export type { ConfigChangeOutcome, VersionConfig } from './move/version-config';
export { createWithdrawalView } from './move/withdrawals';
export type { WithdrawalView } from './move/withdrawals';

// orders to engines
export { orderKey, targetText, toOrderRow, toOrderValue } from './order/row';
export type { OrderRow } from './order/row';
export { createOrderRunner } from './order/runner';
export type { OrderRunner, OrderRunnerPorts } from './order/runner';
