// inference engine
export { TOKENS_PER_BLOCK, createPrefixCache } from './engine/cache';
export type { CacheChange, PrefixCache } from './engine/cache';
export { createEngineModel, DEFAULT_ENGINE_MODEL } from './engine/model';
export type {
  EngineModel,
  EngineModelSettings,
  EngineOutput,
  EngineWorkCounters,
  RequestProgress,
  OrderResult,
  SubmitOutcome,
  VersionFault,
} from './engine/model';
export { createEngineServer } from './engine/server';
export type { EngineServerOptions } from './engine/server';
export { tokenizePrompt, tokenText, expectedTokenTexts } from './engine/text';
export type { GenerationInputs } from './engine/text';

// plain service
export { createServiceModel } from './service/model';
export type { RunOutcome, ServiceModel, StoredRun } from './service/model';
export { createServiceServer } from './service/server';

// platform
export { NO_FAULTS } from './platform/faults';
export type { StoreFaults } from './platform/faults';
export {
  createHostListModel,
  createTableStoreModel,
  createWeightStoreModel,
} from './platform/model';
export type { HostListModel, TableStoreModel, WeightStoreModel } from './platform/model';
export { createPlatformServer } from './platform/server';
export { createFakeObjectStore } from './platform/object-store';
export { createFakeTableStore } from './platform/table-store';

// random numbers
export { createRandom } from './random';

// simulated time and in-process engines
export { createVirtualTime } from './virtual-time';
export type { VirtualProcess, VirtualTime } from './virtual-time';
export { createEngineGroup } from './engine/group';
export type { EngineGroup, EngineGroupOptions } from './engine/group';

// ports of processes
export { findFreePort } from './free-port';

// memory of processes
export { measureHeapBytes } from './heap';
