// interfaces of the platform's services
export type {
  CommitOutcome,
  TableCondition,
  JsonValue,
  TableReadOutcome,
  Row,
  TableStore,
  Transaction,
  TableWrite,
} from './platform/table-store';
export type {
  ObjectListOutcome,
  ObjectReadOutcome,
  ObjectStore,
  ObjectWriteOutcome,
} from './platform/object-store';
export type { HostList, HostListOutcome, ListedHost } from './platform/host-list';
export type { WeightStore } from './platform/weight-store';

// interfaces of backend servers
export type {
  AttemptHandle,
  AttemptEvent,
  CacheEvent,
  CacheEvents,
  CacheSnapshot,
  EngineReadOutcome,
  EngineClient,
  EngineLoad,
  EngineOrder,
  EngineState,
  EngineTarget,
  GenerateRequest,
  LoadedModel,
  EngineOrderOutcome,
  GeneratePriority,
} from './engine/client';
export type {
  ServerLoad,
  ServiceCallOutcome,
  ServiceCall,
  ServiceClient,
  ServiceLookupOutcome,
} from './service/client';

// runtime
export { createSystemClock } from './runtime/clock';
export type { Clock } from './runtime/clock';
export { loadHashFunctions, sha256Hex } from './runtime/hash';
export type { HashFunctions } from './runtime/hash';
export { createHttpClient, describeError, isNotSent } from './runtime/fetch';
export type { FetchOptions, FetchOutcome, HttpClient } from './runtime/fetch';
export {
  createHttpServer,
  DEFAULT_HTTP_LIMITS,
  NO_ROOM_RETRY_MS,
  readJsonBody,
  releaseAtEnd,
  sendError,
  sendJson,
  sendText,
  toErrorBody,
} from './runtime/http';
export { noteFreedBytes } from './runtime/buffer-collection';
export { collectGarbage } from './runtime/buffer-collection';
export { readText } from './runtime/fetch';
export { createBodyBuffer } from './runtime/body-buffer';
export type { BodyBuffer } from './runtime/body-buffer';
export { createBodyReader, isBodyOutstanding, respondBeforeBody } from './runtime/request-body';
export type { BodyOutcome, BodyReader } from './runtime/request-body';
export type {
  BodyRoom,
  JsonBodyOutcome,
  HttpLimits,
  HttpServer,
  RawRequestHandler,
} from './runtime/http';
export { createLog } from './runtime/log';
export type { Log, LogFields, LogLevel } from './runtime/log';
export { createMetrics } from './runtime/metrics';
export type { Metrics } from './runtime/metrics';
export { EXIT_USAGE, runProgram } from './runtime/main';
export type { ProgramOptions, RunningProgram } from './runtime/main';
export { formatProblem, loadSettings, parseSettings } from './runtime/settings';
export type { SettingsOutcome, SettingsProblem } from './runtime/settings';
export { createTracer } from './runtime/trace';
export type { FinishedSpan, Tracer, TraceSettings, TraceSpan } from './runtime/trace';

// HTTP clients
export {
  createHostList,
  createObjectStore,
  createTableStore,
  createWeightStore,
} from './platform/http';
export type { PlatformOptions } from './platform/http';
export { createEngineClient } from './engine/http';
export type { EngineClientOptions } from './engine/http';
export { createServiceClient } from './service/http';

// stored configuration
export { createConfigReader } from './config/reader';
export type {
  ConfigOutcome,
  ConfigReader,
  ConfigHeadOutcome,
  StoreUnavailable,
  RevisionsOutcome,
} from './config/reader';
export { CONFIG_HEAD_KEY, revisionKey, snapshotName } from './config/rows';
export type { ConfigHead } from './config/rows';
export { createConfigStore, SNAPSHOT_INTERVAL } from './config/store';
export type {
  ChangeRequest,
  CommitRevisionOutcome,
  ConfigStore,
  OperationOutcome,
} from './config/store';

// heads of responses
export { listElements, singleValue, toFields } from './runtime/response-head';
export type { BodyFraming, HeaderFields, ResponseHead } from './runtime/response-head';

// forwarded traffic
export { createUpstream } from './forward/upstream';
export type {
  Exchange,
  ExchangeFailure,
  ExchangeHandler,
  Upstream,
  UpstreamRequest,
  UpstreamSettings,
} from './forward/upstream';
export { splitAddress } from './runtime/address';
export type { HostPort } from './runtime/address';
export { createDecisionLog, createDescriptorSink } from './forward/decision-log';
export type {
  DecisionFields,
  DecisionLog,
  DecisionLogSettings,
  DecisionValue,
  DecisionPriority,
  LineSink,
} from './forward/decision-log';
export { openDatagramSocket } from './forward/datagram-socket';
export type { DatagramSocket } from './forward/datagram-socket';
