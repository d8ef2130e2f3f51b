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
export { createDeathTable } from './stream/deaths';
export type {
  Candidate,
  Death,
  DeathReport,
  DeathTable,
  DeathTableSettings,
} from './stream/deaths';
export { createResumeQueue, RESUME_DEFAULTS } from './stream/resumes';
export type { ResumeQueue, ResumeSettings } from './stream/resumes';
export { createSuspects, SUSPECT_DEFAULTS } from './stream/suspects';
export type {
  Admission,
  PlacedEngine,
  Standing,
  SuspectItem,
  Suspects,
  SuspectSettings,
} from './stream/suspects';

// plain calls
export { createRetryBudget, RETRY_BUDGET_DEFAULTS } from './call/budget';
export type { RetryBudget, RetryBudgetSettings } from './call/budget';
export { createDirectCall } from './call/direct';
export type {
  DirectCall,
  DirectCallEffect,
  DirectCallEvent,
  DirectCallSettings,
  SendCause,
  ServerAnswer,
} from './call/direct';
export { createKeyedCall } from './call/keyed';
export type {
  KeyedCall,
  KeyedCallEffect,
  KeyedCallEvent,
  KeyedCallSettings,
  WritePurpose,
} from './call/keyed';
export { createLatencyWindow } from './call/latency';
export type { LatencyWindow } from './call/latency';
export { CALL_EXPIRY_MS, callRowKey, callServiceKey, parseCallRecord } from './call/record';
export type { CallRecord, CallState, VersionedRecord } from './call/record';
export type { CallResult, OwnerAnswer } from './call/result';

// configuration
export { FLEET_DEFAULTS } from './config/model';
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
  TeamLimits,
} from './config/model';
export { checkChangeAccess, checkServiceAccess, findAdministrator } from './config/access';
export type { AccessDecision, Administrator } from './config/access';
export {
  CHANGE_KINDS,
  applyChanges,
  getOwnEntry,
  invertChanges,
  changedEntries,
} from './config/change';
export type { ConfigChange, ConfigChangeKind, ConfigRevision } from './config/change';
export { CONFIG_SECTIONS, diffConfigs } from './config/diff';
export type { ConfigSection, EntryDiff, FieldDiff } from './config/diff';
export { effectiveSettings } from './config/effective';
export type { SettingsContext } from './config/effective';
export { STORE_READERS_PER_DOMAIN, chooseStoreReaders } from './config/store-readers';
export type { StoreReaderCandidate } from './config/store-readers';
export { EMPTY_CONFIG, createConfigReplica } from './config/replica';
export type { ConfigReplica, ConfigReplicaEffect } from './config/replica';
export type { ConfigProblem, JsonSchema } from './config/validator';
export { planUndo } from './config/undo';
export type { UndoPlan } from './config/undo';
export {
  CHANGE_LIST_SCHEMA,
  SETTING_RANGES,
  validateAndApply,
  parseChanges,
} from './config/validate';
export type { AppliedChanges, ParsedChanges } from './config/validate';

// membership
export { createSwim, visibleState, spareMessageBytes } from './member/swim';
export { SWIM_DEFAULTS } from './member/swim-types';
export { pickRandom, shuffle } from './member/random';
export type {
  ProbeTarget,
  Swim,
  SwimEffect,
  SwimEvent,
  SwimMessage,
  SwimSettings,
  SwimTimes,
  SyncReply,
  SyncRequest,
} from './member/swim-types';
export type { MemberUpdate, GossipedState, MemberEntry } from './member/member-entry';
export { createGossip, GOSSIP_DEFAULTS, itemSizeBytes } from './member/gossip';
export type { Gossip, GossipItem, GossipSettings } from './member/gossip';
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
export { createPool, REGION_BASE_RATIO } from './limit/pool';
export type { Pool, PoolClaim } from './limit/pool';
export { BASE_RATIO, createShare } from './limit/share';
export type { AcquireOutcome, Permit, Share, ShareClaim } from './limit/share';
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

// version moves
export { chooseVersion, enginesToAvoid } from './move/version-choice';
export type {
  EngineVersions,
  EngineSplitInput,
  VersionChoice,
  VersionGroup,
} from './move/version-choice';
export {
  EVIDENCE_BUCKET_BYTES,
  createEvidencePool,
  decodeEvidenceBuckets,
  encodeEvidenceBuckets,
  epochAt,
  epochLengthMs,
  EVIDENCE_SIGNALS,
  LOAD_LEVELS,
} from './move/evidence';
export type {
  EngineDeath,
  EvidenceBucket,
  EvidencePool,
  EvidenceSettings,
  EvidenceSignal,
  EvidenceVerdict,
  LoadLevel,
  PairCounts,
} from './move/evidence';
export { UNLOAD_DELAY_MS, nextMoveEffects } from './move/move-machine';
export type { MoveEffect, ObservedMove } from './move/move-machine';
export { createAttemptPairing } from './move/pairing';
export type { AttemptObserver, AttemptOutcome, AttemptScope, AttemptPairing } from './move/pairing';
export { packedEngineCount, planMove, STEP_SHARES } from './move/move-plan';
export type { MovePlan, MovePlanInput, PlannedStep, MovePlanOutcome } from './move/move-plan';
export type { MoveRecord } from './move/move-record';
export { createWithdrawals } from './move/withdrawals';
export type { Withdrawal, Withdrawals } from './move/withdrawals';

// leases and orders to engines
export { decideOrder } from './order/decide-order';
export type {
  ObservedEngine,
  HeldOrdersLease,
  OrderDecision,
  OrderLimits,
} from './order/decide-order';
export { createLease } from './order/lease';
export type { Lease, LeaseAction, LeaseRow, LeaseSettings, LeaseWriteOutcome } from './order/lease';

// journal replicas
export { placementKey, planLookup, rankHolders, toRequestId } from './stream/placement';
export type { LookupBounds, ReplicaPeer } from './stream/placement';
export {
  createReplicaHolder,
  createReplicaSender,
  HOLDER_DEFAULTS,
  isBetter,
  SENDER_DEFAULTS,
} from './stream/replica';
export type {
  HeldReplica,
  HolderSettings,
  Outgoing,
  OwnStream,
  ReplicaAnswer,
  ReplicaBatch,
  ReplicaEnd,
  ReplicaHolder,
  ReplicaSender,
  ReplicaStart,
  ReplicaTail,
  SenderSettings,
} from './stream/replica';

// load digests
export { createDigestTable, DIGEST_DEFAULTS, toSection } from './member/digest';
export type {
  SlotAssignment,
  DigestOutcome,
  DigestTable,
  ReaderSection,
  DigestSettings,
} from './member/digest';
export {
  LOAD_ENTRY_BYTES,
  packLoadEntries,
  quantiseLoad,
  toEngineReport,
  unpackLoadEntries,
} from './member/load-entry';
export type { EngineReport, LoadEntry } from './member/load-entry';
export { findLoadReaders, findTreePosition } from './member/digest-tree';
export type { TreeMember, TreePosition } from './member/digest-tree';

// forwarded traffic
export { createForwardTable, checkAccess, pickTarget } from './forward/table';
export type { AccessOutcome, ForwardTable } from './forward/table';
export { createKnowledge } from './forward/knowledge';
export type { ClockCheck, FreshnessBounds, Knowledge } from './forward/knowledge';
export { createEvidenceBook } from './forward/evidence';
export type { CallEvidence, CallOutcome, EvidenceBook } from './forward/evidence';
export { createStreamDurations } from './forward/durations';
export type { StreamDurations, WholeStream } from './forward/durations';
export { createEventSequence, createEventSplitter } from './forward/events';
export type { EventSequence, EventSplitter, SequenceVerdict, StreamEvent } from './forward/events';
export { createDirectory } from './forward/directory';
export type { Directory } from './forward/directory';
export { createFleet } from './forward/fleet';
export type {
  FailureNews,
  Fleet,
  FleetChange,
  ServerBelief,
  ServerFailure,
  ServerLoadReport,
} from './forward/fleet';
export { createPeerBook } from './forward/peers';
export type {
  OwnLoad,
  PeerBook,
  PeerFailure,
  PeerLoad,
  PeerMove,
  PeerNews,
  PeerRouter,
} from './forward/peers';
export { createPlacer } from './forward/placement';
export type {
  CallPlacementInput,
  Placer,
  StreamPlacement,
  StreamPlacementInput,
} from './forward/placement';
export { addEvidence, isWorse, nextMoveStep } from './forward/rollout';
export type {
  AnswerCounts,
  MoveEvidence,
  MoveStanding,
  MoveState,
  MoveStep,
  VersionOrder,
} from './forward/rollout';
export { createForwardStream } from './forward/stream';
export type {
  AttemptLoss,
  ForwardStream,
  ForwardStreamEffect,
  ForwardStreamEvent,
  ForwardStreamSettings,
  PlacedAttempt,
  RunCopy,
} from './forward/stream';
export type {
  CallerLimits,
  CallHead,
  EngineMeans,
  ForwardConfig,
  ForwardCustomer,
  ForwardRoute,
  ForwardServer,
  ForwardService,
  RouteKind,
  RouteName,
  RouteTarget,
} from './forward/types';
