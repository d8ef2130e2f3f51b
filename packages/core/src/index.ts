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

// routing
export { CACHE_VIEW_BLOCKS, createCacheIndex, createCacheView } from './route/cache';
export type {
  CacheBatch,
  CacheChange,
  CacheContent,
  CacheEffect,
  CacheIndex,
  CacheView,
} from './route/cache';
export { createOutlierJudge } from './route/outlier';
export type { OutlierJudge, OutlierSettings, ServerResult } from './route/outlier';
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

// limits
export { createAllocator, LEASE_MS } from './limit/allocator';
export type { Allocator, ShareAnswer, ShareRequest } from './limit/allocator';
export { mapAmounts, METERS, NO_AMOUNTS, scaleAmounts } from './limit/amounts';
export type { Amounts, Meter } from './limit/amounts';
export { createDuty } from './limit/duty';
export type { Duty } from './limit/duty';
export { createGate } from './limit/gate';
export type { Gate, GateEffect, GateSettings } from './limit/gate';
export { BASE_RATIO, createLease } from './limit/lease';
export type { AcquireOutcome, Lease, LeaseRequest } from './limit/lease';
export { createFairQueue } from './limit/queue';
export type {
  Dequeued,
  EnqueueOutcome,
  FairQueue,
  QueueSettings,
  RefuseReason,
  Waiting,
} from './limit/queue';
export { createWindow } from './limit/window';
export type { Window, WindowSettings } from './limit/window';
