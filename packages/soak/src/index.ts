// the fault soak
export { findViolations } from './checks';
export type { Exchange, RequestKind, Violation } from './checks';
export { FAULT_KINDS } from './faults';
export type { FaultKind } from './faults';
export { createRouterProcess } from './router-process';
export type { RouterProcess } from './router-process';
export { REGRESSION_SEEDS } from './regression-seeds';
export type { RegressionSeed } from './regression-seeds';
export { runSeed } from './soak';
export type { SoakOptions, SoakResult } from './soak';
