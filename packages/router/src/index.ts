// membership and the server for peers
export { createMembershipService } from './peer/membership';
export type {
  Member,
  Membership,
  MembershipService,
  MembershipDeps,
  MembershipSettings,
  GossipPublication,
} from './peer/membership';
export { createPeerServer, PEER_SERVER_DEFAULTS } from './peer/server';
export type { PeerRouters, PeerServer, PeerServerSettings } from './peer/server';
export { createPeerTraffic } from './peer/traffic';
export type { PeerTraffic } from './peer/traffic';
export { createPeerRouter, peerProcedure } from './peer/trpc';
export type { PeerContext } from './peer/trpc';
export type { PeerPool } from './peer/pool';

// plain calls
export { createCalls } from './call/calls';
export type { CallRequest, Calls } from './call/calls';
export type {
  CallsPorts,
  OwnerClient,
  OwnerQuestion,
  ServerCallResult,
  ServerPicker,
} from './call/ports';

// version moves
export { createWithdrawalGossip } from './move/withdrawal-gossip';
export type { WithdrawalGossip } from './move/withdrawal-gossip';
export { evidenceSchema } from './move/evidence-message';
export type { EvidenceMessage, EvidenceReply } from './move/evidence-message';
export { createMovePeerRouter } from './move/peer';
export type { MovePeerRouter } from './move/peer';
export { createMoveMonitor, FALSE_ALARM_RATIO, loadLevelOf } from './move/move-monitor';
export type { MoveMonitor, MoveMonitorPorts, MonitoredAttempt } from './move/move-monitor';
export { createCallRouter, createOwnerClient } from './call/peer';
export type { AskPeer, CallRouter } from './call/peer';

// configuration
export { createConfigPeers } from './config/config-client';
export type { ConfigClientFactory } from './config/config-client';
export { createConfigFeed, DEFAULT_FEED_SETTINGS } from './config/feed';
export type { ConfigFeed, ConfigFeedOptions, ConfigFeedSettings } from './config/feed';
export { createConfigRouter } from './config/config-router';
export type { ConfigRouter } from './config/config-router';
export type {
  ConfigPeerHandler,
  ConfigPeers,
  ConfigPush,
  PullOutcome,
  PushOutcome,
  SnapshotPart,
} from './config/config-peers';
export type { ConfigSource } from './config/source';
// journal replicas
export { createReplicas, REPLICA_DEFAULTS } from './stream/replica';
export type {
  ReplicaLookupOutcome,
  ReplicaDeps,
  Replicas,
  ReplicaSettings,
} from './stream/replica';

// load digests
export { createLoadDigests } from './peer/digest';
export type { DigestDeps, DigestEngine, LoadDigests } from './peer/digest';

// forwarded traffic
export { startGateway } from './forward/gateway';
export type { Gateway, GatewayEnvironment } from './forward/gateway';
export { gatewaySettingsSchema } from './forward/settings';
export type { GatewaySettings } from './forward/settings';
export type {
  LimitNotice,
  ResponseMetadata,
  KvCacheCopySource,
  ErrorResponse,
  ForwardCodec,
  ParsedRequest,
  ForwardMetadata,
} from './forward/codec';
export { createRetryBudgets } from './forward/retry-budgets';
export { createStateBroadcast } from './forward/state-broadcast';
export type { StateBroadcast } from './forward/state-broadcast';
export type { ListedRouter, RouterList, RouterTable } from './forward/router-registry';
export type { KvCacheCopyOutcome, KvCacheCopyClient } from './forward/ports';
export type { CondemnedTable, StoredCondemnation } from './forward/crash-guard';
export type { OperatorRecord } from './forward/operator-record';
export type { MoveRecordOutcome, MoveTable } from './forward/version-moves';
export type {
  StoreFailure,
  TableChange,
  TableChanges,
  TableContent,
  TableRow,
  WatchedTable,
} from './forward/watched-table';
