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

// plain calls
export { createKeyedCall } from './call/keyed';
export type {
  KeyedCall,
  KeyedCallEffect,
  KeyedCallEvent,
  KeyedCallSettings,
  WritePurpose,
} from './call/keyed';
export { CALL_EXPIRY_MS, callRowKey, callServiceKey, parseCallRecord } from './call/record';
export type { CallRecord, CallState, VersionedRecord } from './call/record';
export type { CallResult, OwnerAnswer } from './call/result';

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

// routing
export { chainBlockHashes, toBlockKeys } from './route/prefix';
export type { Hash64Text, PrefixScope } from './route/prefix';
export { createPicker } from './route/picker';
export type { Picker } from './route/picker';
export type {
  EngineRole,
  LoadedVersion,
  LoadReport,
  NoEngineReason,
  PickerSettings,
  PickOutcome,
  RouteEngine,
  RoutePriority,
  RouteRequest,
  Send,
  SendResult,
} from './route/types';

// version moves
export { chooseVersion, enginesToAvoid } from './move/choose';
export type { EngineVersions, SplitInput, VersionChoice, VersionGroup } from './move/choose';
export {
  CELL_BYTES,
  createEvidencePool,
  decodeCells,
  encodeCells,
  epochAt,
  epochLengthMs,
  EVIDENCE_SIGNALS,
  LOAD_LEVELS,
} from './move/evidence';
export type {
  EngineDeath,
  EvidenceCell,
  EvidencePool,
  EvidenceSettings,
  EvidenceSignal,
  EvidenceVerdict,
  LoadLevel,
  PairCounts,
} from './move/evidence';
export { KEEP_WARM_MS, nextMoveEffects } from './move/machine';
export type { MoveEffect, MoveView } from './move/machine';
export { createPairing } from './move/pairing';
export type { AttemptObserver, AttemptOutcome, AttemptScope, Pairing } from './move/pairing';
export { packedEngineCount, planMove, STEP_SHARES } from './move/plan';
export type { MovePlan, PlanInput, PlannedStep, PlanOutcome } from './move/plan';
export type { MoveRecord } from './move/record';
export { createWithdrawals } from './move/withdrawals';
export type { Withdrawal, Withdrawals } from './move/withdrawals';

// leases and orders to engines
export { decideOrder } from './order/converge';
export type { EngineView, HolderView, OrderDecision, OrderLimits } from './order/converge';
export { createLease } from './order/lease';
export type { Lease, LeaseAction, LeaseRow, LeaseSettings, LeaseWriteOutcome } from './order/lease';
