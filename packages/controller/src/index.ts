// duties
export { runDuties } from './duties';
export type { RunningDuties, Duty } from './duties';

// leases
export { createLeaseManager } from './lease/manager';
export type { LeaseManager, LeaseManagerSettings } from './lease/manager';

// version moves
export { createEngineFleet } from './move/fleet';
export type { EngineFleet, EngineFleetPorts, ServiceEngines } from './move/fleet';
export { createMoveRunner } from './move/runner';
export type { MoveRunner, MoveRunnerPorts } from './move/runner';
export { createVersionConfigStore } from './move/version-config';
export type { ConfigChangeOutcome, VersionConfigStore } from './move/version-config';
export { createWithdrawalPoller } from './move/withdrawals';
export type { WithdrawalPoller } from './move/withdrawals';

// orders to engines
export { orderKey, canonicalTargetText, toOrderRow, toOrderValue } from './order/row';
export type { OrderRow } from './order/row';
export { createOrderRunner } from './order/runner';
export type { OrderRunner, OrderRunnerPorts } from './order/runner';
