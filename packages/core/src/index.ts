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
