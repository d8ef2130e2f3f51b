// ids and errors
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

// bytes
export { createByteBuffer } from './byte-buffer';
export type { ByteBuffer, ByteBufferOptions } from './byte-buffer';

// hashing
export { rankByRendezvous } from './hash/rendezvous';
export type { Hash32 } from './hash/rendezvous';

// streams
export { createJournal } from './stream/journal';
export type { Journal } from './stream/journal';
export { createSilenceDetector } from './stream/silence-detector';
export type { SilenceDetector, SilenceTimeouts } from './stream/silence-detector';
export { createStreamSession } from './stream/session';
export type {
  FinishReason,
  LossCause,
  StreamSession,
  StreamSessionEffect,
  StreamSessionEvent,
  StreamSessionSettings,
} from './stream/session';
export { createDeathTable } from './stream/death-table';
export type {
  DeathCandidate,
  Death,
  DeathReport,
  DeathTable,
  DeathTableSettings,
} from './stream/death-table';
export { createResumeQueue, RESUME_QUEUE_DEFAULTS } from './stream/resume-queue';
export type { ResumeQueue, ResumeQueueSettings } from './stream/resume-queue';
export { createSuspectTracker, SUSPECT_TRACKER_DEFAULTS } from './stream/suspect-tracker';
export type {
  SuspectAdmission,
  EngineLocation,
  SuspectStatus,
  SuspectItem,
  SuspectTracker,
  SuspectTrackerSettings,
} from './stream/suspect-tracker';

// calls to plain services
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
export {
  CACHE_VIEW_MAX_BLOCKS,
  createPrefixCacheViews,
  createPrefixCacheView,
} from './route/cache';
export type {
  CacheEventBatch,
  CacheBlockEvent,
  CacheBlockSnapshot,
  CacheEffect,
  PrefixCacheViews,
  PrefixCacheView,
} from './route/cache';
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

// quotas and admission control
export { createQuotaAllocator, QUOTA_LEASE_MS } from './limit/allocator';
export type { QuotaAllocator, QuotaAnswer, QuotaRequest } from './limit/allocator';
export { mapQuota, QUOTA_DIMENSIONS, NO_QUOTA, scaleQuota } from './limit/amounts';
export type { Quota, QuotaDimension } from './limit/amounts';
export { createAllocatorAssignment } from './limit/duty';
export type { AllocatorAssignment } from './limit/duty';
export { createAdmissionController } from './limit/gate';
export type { AdmissionController, AdmissionEffect, AdmissionSettings } from './limit/gate';
export { createRegionQuota, REGION_UNLEASED_RATIO } from './limit/pool';
export type { RegionQuota, RegionQuotaClaim } from './limit/pool';
export { UNLEASED_RATIO, createQuotaShare } from './limit/share';
export type { AcquireOutcome, Permit, QuotaShare, QuotaClaim } from './limit/share';
export { createFleetRetryBudget } from './limit/fleet-retry-budget';
export type {
  FleetRetryBudget,
  FleetRetryBudgetSettings,
  FleetSize,
  RetryTotals,
} from './limit/fleet-retry-budget';
export { createServerLimits } from './limit/server-limits';
export type {
  LimitChange,
  LimitClaim,
  LimitReports,
  LimitedDemand,
  NamedLimit,
  ServerLimitReport,
  ServerLimits,
} from './limit/server-limits';
export { createMemoryBudget, progressDueAtMs, SMALL_CLAIM_BYTES } from './limit/memory-budget';
export type { HeldKind, MemoryBudget, MemoryClaim } from './limit/memory-budget';
export { hostLimits } from './limit/host-limits';
export type { HostLimits, HostSize } from './limit/host-limits';
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
export { UNLOAD_DELAY_MS, nextMoveEffects } from './move/machine';
export type { MoveEffect, ObservedMove } from './move/machine';
export { createAttemptPairing } from './move/pairing';
export type { AttemptObserver, AttemptOutcome, AttemptScope, AttemptPairing } from './move/pairing';
export { packedEngineCount, planMove, STEP_SHARES } from './move/move-plan';
export type { MovePlan, MovePlanInput, PlannedStep, MovePlanOutcome } from './move/move-plan';
export type { MoveRecord } from './move/move-record';
export { createWithdrawals } from './move/withdrawals';
export type { Withdrawal, Withdrawals } from './move/withdrawals';

// controller lease and engine orders
export { decideOrder } from './order/converge';
export type { ObservedEngine, HeldOrdersLease, OrderDecision, OrderLimits } from './order/converge';
export { createLease } from './order/lease';
export type { Lease, LeaseAction, LeaseRow, LeaseSettings, LeaseWriteOutcome } from './order/lease';

// journal replicas
export {
  placementKey,
  planReplicaLookup,
  rankReplicaHolders,
  toRequestId,
} from './stream/replica-placement';
export type { ReplicaLookupLimits, ReplicaPeer } from './stream/replica-placement';
export {
  createReplicaHolder,
  createReplicaSender,
  REPLICA_HOLDER_DEFAULTS,
  isPreferredReplica,
  REPLICA_SENDER_DEFAULTS,
} from './stream/replica';
export type {
  HeldReplica,
  ReplicaHolderSettings,
  OutgoingReplicaBatch,
  LocalStream,
  ReplicaAnswer,
  ReplicaBatch,
  ReplicaEnd,
  ReplicaHolder,
  ReplicaSender,
  ReplicaMetadata,
  ReplicaTail,
  ReplicaSenderSettings,
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
export { decideStreamAdmission } from './forward/admission';
export type { ServiceLoad, StreamAdmission, StreamAdmissionInput } from './forward/admission';
export { createServiceLoads } from './forward/service-load';
export type { ServiceLoads } from './forward/service-load';
export { urgencyOf } from './forward/urgency';
export type { Urgency, UrgencyInput } from './forward/urgency';
export { createFreshnessTracker } from './forward/freshness';
export type { ClockCheck, FreshnessBounds, FreshnessTracker } from './forward/freshness';
export { isProbablyBusy } from './forward/busy-engine';
export { createLinkPace } from './forward/link-pace';
export type { LinkPace } from './forward/link-pace';
export { createConnectTimeouts } from './forward/connect-timeouts';
export type { ConnectTimeouts } from './forward/connect-timeouts';
export { createCallOutcomeTracker } from './forward/call-outcomes';
export type { CallCounts, CallOutcome, CallOutcomeTracker } from './forward/call-outcomes';
export { createResponseBuffers } from './forward/response-buffers';
export type { BufferedKind, ResponseBuffer, ResponseBuffers } from './forward/response-buffers';
export { createStreamTimes } from './forward/stream-times';
export type { StreamTimes } from './forward/stream-times';
export { createStreamDurations } from './forward/durations';
export type { StreamDurations, CompletedStream } from './forward/durations';
export { createEventSequence, createEventSplitter } from './forward/events';
export type { EventSequence, EventSplitter, SequenceVerdict, StreamEvent } from './forward/events';
export { asStoreEra, createStoreEras, UNKNOWN_ERA } from './forward/store-era';
export type { EraComparison, StoreEra, StoreEras, StoreRevision } from './forward/store-era';
export { createOutageTracker } from './forward/outage';
export type { OutageTracker } from './forward/outage';
export {
  CONDEMNED_MS,
  CRASH_SETTLE_MS,
  createCrashSuspects,
  QUARANTINE_MS,
} from './forward/crash-suspects';
export type {
  Condemnation,
  CondemnOutcome,
  CrashSuspects,
  CrashVerdict,
  ServerCrash,
  SuspectAnswer,
} from './forward/crash-suspects';
export { partSetId } from './forward/suspect';
export type { PartSetId, SuspectId, SuspectMember } from './forward/suspect';
export { evictOldest } from './evict';
export { createServerDirectory } from './forward/directory';
export type { ServerDirectory } from './forward/directory';
export { createFleet } from './forward/fleet';
export type {
  FailureEffect,
  Fleet,
  FleetChange,
  ServerState,
  ServerFailure,
  ServerLoadReport,
} from './forward/fleet';
export { createPeerRegistry } from './forward/peers';
export type {
  RouterLoad,
  PeerRegistry,
  PeerFailure,
  PeerLoad,
  PeerMove,
  PeerUpdate,
  PeerRouter,
} from './forward/peers';
export { createPlacer } from './forward/placement';
export { EXPLAINED_SERVERS_MAX } from './forward/placement-explain';
export type {
  CandidateExplanation,
  CopyCandidate,
  ExcludedServer,
  PlacementExplainer,
  PlacementExplanation,
} from './forward/placement-explain';
export { createPromptSizes } from './forward/prompt-sizes';
export type { PromptSizes, PromptSplit } from './forward/prompt-sizes';
export { WORK_TIME_MAX_PERCENT, createServerPace } from './forward/server-pace';
export type { PaceReport, ServerPace } from './forward/server-pace';
export { createOutputSizes } from './forward/output-sizes';
export type { OutputBounds, OutputSizes } from './forward/output-sizes';
export type {
  CallPlacementInput,
  CostPart,
  Placer,
  PromptSize,
  StreamPlacement,
  StreamPlacementInput,
} from './forward/placement-types';
export { isMajorityHeard } from './forward/quorum';
export {
  addEvidence,
  hasServers,
  isNewVersionWorse,
  isStoredSince,
  nextMoveStep,
} from './forward/rollout';
export type {
  AnswerCounts,
  MoveEvidence,
  MoveProgress,
  MoveState,
  MoveStep,
  VersionOrder,
  VersionServers,
} from './forward/rollout';
export { isRestart } from './forward/server-notices';
export { createPriorityClasses } from './forward/priority';
export type { PriorityClass, PriorityClasses } from './forward/priority';
export { createForwardStream } from './forward/stream';
export type {
  AttemptLoss,
  ForwardStream,
  ForwardStreamEffect,
  ForwardStreamEvent,
  ForwardStreamSettings,
  ReplacementAttempt,
  PlacedAttempt,
  KvCacheCopy,
} from './forward/stream';
export type {
  CallerLimits,
  RequestHead,
  EngineCapacity,
  ForwardConfig,
  ForwardCustomer,
  ForwardRoute,
  ForwardServer,
  ForwardService,
  RouteKind,
  PromptPartId,
  RouteName,
  RouteTarget,
} from './forward/types';
