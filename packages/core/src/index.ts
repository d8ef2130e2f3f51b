// ids and outcomes
export { asAttemptNo, asId, asRevision } from './ids';
export type {
  AttemptNo,
  Brand,
  CustomerId,
  EngineId,
  FailureDomain,
  Fingerprint,
  HostId,
  MoveId,
  OperationId,
  Region,
  RequestId,
  Revision,
  RouterId,
  ServerId,
  ServiceName,
  TeamId,
  VersionName,
} from './ids';
export { assertNever, createServeError, httpStatus } from './outcome';
export type { RunState, ServeError, ServeErrorCode } from './outcome';

// hashing
export { rankByRendezvous } from './hash/rendezvous';
export type { Hash32 } from './hash/rendezvous';

// streams
export { createJournal } from './stream/journal';
export type { Journal } from './stream/journal';
export { createPace } from './stream/pace';
export type { Pace, SilenceBounds } from './stream/pace';
export { createSession } from './stream/session';
export type {
  FinishReason,
  LossCause,
  Session,
  SessionEffect,
  SessionEvent,
  SessionSettings,
} from './stream/session';

// configuration
export { DEFAULTS } from './config/model';
export type {
  CandidateVersion,
  ConfigException,
  CustomerConfig,
  EngineServiceConfig,
  ExceptionScope,
  FleetConfig,
  FleetDefaults,
  OperationConfig,
  PlainServiceConfig,
  ServiceConfig,
  TeamAdmin,
  TeamConfig,
} from './config/model';

// version moves
export { KEEP_WARM_MS, nextMoveEffects } from './move/machine';
export type { MoveEffect, MoveView } from './move/machine';
export { planMove, STEP_SHARES } from './move/plan';
export type { MovePlan, PlanInput, PlannedStep, PlanOutcome } from './move/plan';
export type { MoveRecord } from './move/record';

// leases and orders to engines
export { createLease } from './order/lease';
export type { Lease, LeaseAction, LeaseRow, LeaseSettings, LeaseWriteOutcome } from './order/lease';
