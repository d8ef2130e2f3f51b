// fleets of real processes
export { FLEET_DEFAULTS, startFleet } from './fleet/fleet';
export type { EngineSpec, Fleet, FleetNode, FleetOptions, RouterSpec } from './fleet/fleet';
export {
  commitSampleConfig,
  SAMPLE,
  SAMPLE_DOMAINS,
  startEngines,
  startRouters,
} from './fleet/setup';
export { readStream } from './fleet/caller';
export type { CallerOptions, CallerResult } from './fleet/caller';
export { startBinary } from './fleet/process';
export type { BinaryName, FleetProcess } from './fleet/process';
export { createRelay } from './fleet/relay';
export type { Relay } from './fleet/relay';

// measurements
export type { Measurement, MeasureOptions, MeasureResult } from './measure/measurement';
export { basicChanges, commitChanges } from './fleet/config';
