// ports to the platform
export type {
  CommitOutcome,
  Condition,
  JsonValue,
  ReadOutcome,
  Row,
  Tables,
  Transaction,
  Write,
} from './platform/tables';
export type {
  ObjectListOutcome,
  ObjectReadOutcome,
  Objects,
  ObjectWriteOutcome,
} from './platform/objects';
export type { HostList, HostListOutcome, ListedHost } from './platform/hosts';
export type { WeightStore } from './platform/weights';

// ports to backend servers
export type {
  Attempt,
  AttemptEvent,
  CacheEvent,
  CacheEvents,
  CacheSnapshot,
  EngineAnswer,
  EngineClient,
  EngineLoad,
  EngineOrder,
  EngineState,
  EngineTarget,
  GenerateRequest,
  LoadedModel,
  OrderOutcome,
  Priority,
} from './engine/client';
export type {
  ServerLoad,
  ServiceAnswer,
  ServiceCall,
  ServiceClient,
  ServiceLookup,
} from './service/client';

// runtime
export { createSystemClock } from './runtime/clock';
export type { Clock } from './runtime/clock';
