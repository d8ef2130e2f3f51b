export { createLeaseKeeper } from './lease/keeper';
export type { LeaseKeeper, LeaseKeeperSettings } from './lease/keeper';
export { createMoveRunner } from './move/runner';
export type { EngineFleet, MoveRunner, MoveRunnerPorts, ServiceEngines } from './move/runner';
export type { ConfigChangeOutcome, VersionConfig } from './move/version-config';
