// engine
export { BLOCK_TOKENS, createPrefixCache } from './engine/cache';
export type { CacheChange, PrefixCache } from './engine/cache';
export { createEngineModel, DEFAULT_ENGINE_MODEL } from './engine/model';
export type {
  EngineModel,
  EngineModelSettings,
  EngineOutput,
  EngineWork,
  KnownRequest,
  OrderResult,
  SubmitOutcome,
  VersionFault,
} from './engine/model';
export { createEngineServer } from './engine/server';
export type { EngineServerOptions } from './engine/server';
export { splitPrompt, tokenText, wholeText } from './engine/text';
export type { TextSource } from './engine/text';

// plain service
export { createServiceModel } from './service/model';
export type { RunOutcome, ServiceModel, StoredRun } from './service/model';
export { createServiceServer } from './service/server';

// platform
export { NO_FAULTS } from './platform/faults';
export type { StoreFaults } from './platform/faults';
export { createHostListModel, createTablesModel, createWeightsModel } from './platform/model';
export type { HostListModel, TablesModel, WeightsModel } from './platform/model';
export { createPlatformServer } from './platform/server';
export { createFakeObjects } from './platform/objects';
export { createFakeTables } from './platform/tables';

// random numbers
export { createRandom } from './random';

// simulated time
export { createVirtualTime } from './clock';
export type { VirtualProcess, VirtualTime } from './clock';
export { createEngineGroup } from './engine/group';
export type { EngineGroup, EngineGroupOptions } from './engine/group';
