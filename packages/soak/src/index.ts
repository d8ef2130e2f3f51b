// the fault soak
export { findViolations } from './checks';
export type { Exchange, RequestKind, Violation } from './checks';
export { FAULT_KINDS } from './faults';
export type { FaultKind } from './faults';
export { createRouterProcess } from './router';
export type { RouterProcess } from './router';
export { REGRESSION_SEEDS } from './seeds';
export type { RegressionSeed } from './seeds';
export { playSeed } from './soak';
export type { SoakOptions, SoakResult } from './soak';
