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
  TeamLimits,
} from './config/model';
export { checkChangeAccess, checkServiceAccess, findAdministrator } from './config/access';
export type { AccessDecision, Administrator } from './config/access';
export {
  CHANGE_KINDS,
  applyChanges,
  entryOf,
  invertChanges,
  touchedEntries,
} from './config/change';
export type { ConfigChange, ConfigChangeKind, ConfigRevision } from './config/change';
export { CONFIG_SECTIONS, diffConfigs } from './config/diff';
export type { ConfigSection, EntryDiff, FieldDiff } from './config/diff';
export { effectiveSettings } from './config/effective';
export type { SettingsPlace } from './config/effective';
export { READERS_PER_DOMAIN, chooseReaders } from './config/readers';
export type { ReaderCandidate } from './config/readers';
export { EMPTY_CONFIG, createReplica } from './config/replica';
export type { Replica, ReplicaEffect } from './config/replica';
export type { ConfigProblem, JsonSchema } from './config/shape';
export { planUndo } from './config/undo';
export type { UndoPlan } from './config/undo';
export { CHANGE_LIST_SCHEMA, SETTING_RANGES, applyChecked, parseChanges } from './config/validate';
export type { AppliedChanges, ParsedChanges } from './config/validate';

// membership
export { createSwim, shownState, spareBytes } from './member/swim';
export { SWIM_DEFAULTS } from './member/message';
export { pick, shuffle } from './member/random';
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
} from './member/message';
export type { MemberUpdate, SpreadState, ViewEntry } from './member/view';
export { createGossip, GOSSIP_DEFAULTS, itemSizeBytes } from './member/gossip';
export type { Gossip, GossipItem, GossipSettings } from './member/gossip';
// routing
export {
  CACHE_VIEW_MAX_BLOCKS,
  createPrefixCacheViews,
  createPrefixCacheView,
} from './route/prefix-cache-view';
export type {
  CacheEventBatch,
  CacheBlockEvent,
  CacheBlockSnapshot,
  CacheEffect,
  PrefixCacheViews,
  PrefixCacheView,
} from './route/prefix-cache-view';
export { createOutlierDetector } from './route/outlier-detector';
export type {
  OutlierDetector,
  OutlierDetectorSettings,
  ServerResult,
} from './route/outlier-detector';
export { chainBlockHashes, toBlockKeys } from './route/block-hash';
export { createEnginePicker } from './route/engine-picker';
export type { EnginePicker } from './route/engine-picker';
export type {
  EngineRole,
  LoadedVersion,
  LoadReport,
  NoEngineReason,
  EnginePickerSettings,
  PickOutcome,
  RouteEngine,
  RoutePriority,
  RouteRequest,
  RoutedRequest,
  RoutedRequestResult,
} from './route/types';

// limits
export { createQuotaAllocator, QUOTA_LEASE_MS } from './limit/quota-allocator';
export type { QuotaAllocator, QuotaAnswer, QuotaRequest } from './limit/quota-allocator';
export { mapQuota, QUOTA_DIMENSIONS, NO_QUOTA, scaleQuota } from './limit/quota';
export type { Quota, QuotaDimension } from './limit/quota';
export { createAllocatorAssignment } from './limit/allocator-assignment';
export type { AllocatorAssignment } from './limit/allocator-assignment';
export { createAdmissionController } from './limit/admission-controller';
export type {
  AdmissionController,
  AdmissionEffect,
  AdmissionSettings,
} from './limit/admission-controller';
export { createRegionQuota, REGION_UNLEASED_RATIO } from './limit/region-quota';
export type { RegionQuota, RegionQuotaClaim } from './limit/region-quota';
export { UNLEASED_RATIO, createQuotaShare } from './limit/quota-share';
export type { AcquireOutcome, Permit, QuotaShare, QuotaClaim } from './limit/quota-share';
export { createFairQueue } from './limit/fair-queue';
export type {
  DequeueResult,
  EnqueueOutcome,
  FairQueue,
  FairQueueSettings,
  RefusalReason,
  QueuedRequest,
} from './limit/fair-queue';
export { createConcurrencyLimiter } from './limit/concurrency-limiter';
export type { ConcurrencyLimiter, ConcurrencySettings } from './limit/concurrency-limiter';

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
export { createDigests, DIGEST_DEFAULTS, toSection } from './member/digest';
export type {
  DigestName,
  DigestOutcome,
  Digests,
  DigestSection,
  DigestSettings,
} from './member/digest';
export { ENTRY_BYTES, packEntries, quantise, toReport, unpackEntries } from './member/load-entry';
export type { EngineReport, LoadEntry } from './member/load-entry';
export { findReaders, findTreePlace } from './member/tree';
export type { TreeMember, TreePlace } from './member/tree';

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
