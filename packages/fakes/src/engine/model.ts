import { createPrefixCache } from './cache';
import { tokenizePrompt, tokenText } from './text';
import type { AttemptNo, EngineId, Hash32, RequestId } from '@mimosamill/core';
import type {
  CacheEvent,
  CacheEvents,
  CacheSnapshot,
  EngineLoad,
  EngineOrder,
  EngineState,
  EngineTarget,
  GenerateRequest,
  LoadedModel,
  GeneratePriority,
} from '@mimosamill/adapters';

/**
 * How a model version misbehaves: from `afterMs` after its weights were loaded, and only while at
 * least `minRunning` requests run, which imitates a fault that shows under load.
 */
export type VersionFault =
  | {
      readonly kind: 'fails';
      readonly failureRatio: number;
      readonly afterMs: number;
      readonly minRunning: number;
      /** The fault affects only requests with this adapter; an empty string affects all. */
      readonly adapter: string;
    }
  | {
      readonly kind: 'slow';
      readonly factor: number;
      readonly afterMs: number;
      readonly minRunning: number;
      readonly adapter: string;
    };

export interface EngineModelSettings {
  readonly engineId: EngineId;
  readonly loaded: readonly LoadedModel[];
  readonly fencing: 'enforced' | 'ignored';
  readonly maxRunning: number;
  readonly maxQueued: number;
  readonly cacheBlocks: number;
  /**
   * A step lasts `baseStepMs + stepMsPerRequest × running requests`, and generates one token for
   * each request whose prompt is processed.
   */
  readonly baseStepMs: number;
  readonly stepMsPerRequest: number;
  readonly prefillTokensPerStep: number;
  /** Minimum age of the figures in a load report while requests run or wait. */
  readonly loadLagMs: number;
  /** Time until a cache event can be read. */
  readonly cacheEventLagMs: number;
  /** Share of cache events left out of an answer at random. */
  readonly cacheEventLossRatio: number;
  /** Newest cache events that are kept; older ones are discarded. */
  readonly maxCacheEvents: number;
  /** How long the tokens of a finished request can still be read. */
  readonly finishedRetentionMs: number;
  readonly versionFaults: Readonly<Record<string, VersionFault>>;
  /**
   * A request whose prompt contains this text crashes the engine once `poisonAfterTokens` tokens
   * are generated; an empty string disables this.
   */
  readonly poisonMarker: string;
  readonly poisonAfterTokens: number;
}

export const DEFAULT_ENGINE_MODEL: Omit<EngineModelSettings, 'engineId' | 'loaded'> = {
  fencing: 'enforced',
  maxRunning: 32,
  maxQueued: 128,
  cacheBlocks: 4_096,
  baseStepMs: 8,
  stepMsPerRequest: 0.2,
  prefillTokensPerStep: 512,
  loadLagMs: 200,
  cacheEventLagMs: 300,
  cacheEventLossRatio: 0.02,
  maxCacheEvents: 1_024,
  finishedRetentionMs: 30_000,
  versionFaults: {},
  poisonMarker: '',
  poisonAfterTokens: 3,
};

export type EngineOutput =
  | {
      readonly kind: 'token';
      readonly requestId: RequestId;
      readonly index: number;
      readonly text: string;
    }
  | { readonly kind: 'finish'; readonly requestId: RequestId }
  | { readonly kind: 'failed'; readonly requestId: RequestId }
  | { readonly kind: 'crash'; readonly requestId: RequestId };

export type SubmitOutcome =
  | { readonly kind: 'ok' }
  | {
      readonly kind: 'refused';
      readonly cause: 'leaving' | 'overloaded' | 'no_version' | 'bad_request';
    };

export interface EngineWorkCounters {
  readonly prefillTokens: number;
  readonly cachedTokens: number;
  readonly decodeTokens: number;
}

/**
 * Simulation of an inference engine without sockets or timers: request queue, batching, prefix
 * cache, loaded versions and fencing of orders.
 */
export interface EngineModel {
  readonly submit: (request: GenerateRequest, nowMs: number) => SubmitOutcome;
  readonly cancel: (requestId: RequestId, attemptNo: AttemptNo) => void;
  /** Tokens include those that the request was resumed with; undefined for an unknown request. */
  readonly findRequest: (requestId: RequestId) => RequestProgress | undefined;
  /** Admits queued requests and runs one step of the batch. */
  readonly step: (nowMs: number, random: () => number) => EngineOutput[];
  /** Duration of the next step; undefined if no request runs or waits. */
  readonly nextStepMs: () => number | undefined;
  readonly reportLoad: (nowMs: number) => EngineLoad;
  readonly cacheEvents: (afterSeq: number, nowMs: number, random: () => number) => CacheEvents;
  readonly cacheSnapshot: () => CacheSnapshot;
  /** Refuses an order with an outdated fencing number if fencing is enforced; returns what to fetch. */
  readonly applyOrder: (order: EngineOrder) => OrderResult;
  readonly onWeightsLoaded: (model: string, version: string, nowMs: number) => void;
  readonly state: () => EngineState;
  readonly leave: () => void;
  /** Multiplies the duration of every step, as a failing accelerator does. */
  readonly setSlowFactor: (factor: number) => void;
  readonly runningRequestIds: () => readonly RequestId[];
  readonly isIdle: () => boolean;
  readonly workCounters: () => EngineWorkCounters;
}

export type OrderResult =
  | { readonly kind: 'ok'; readonly versionsToFetch: readonly LoadedModel[] }
  | { readonly kind: 'stale'; readonly highestFencingNumber: number };

export interface RequestProgress {
  readonly tokens: readonly string[];
  readonly state: 'queued' | 'running' | 'finished';
}

interface TrackedRequest {
  readonly request: GenerateRequest;
  readonly arrivalSeq: number;
  readonly tokens: string[];
  remainingPrefillTokens: number;
  state: 'queued' | 'running' | 'finished';
  finishedAtMs: number;
}

const PRIORITY_RANK: Readonly<Record<GeneratePriority, number>> = {
  urgent: 0,
  normal: 1,
  batch: 2,
};
const LOADING_SLOWDOWN_FACTOR = 1.2;
const MAX_LOAD_RECORDS = 64;

export function createEngineModel(settings: EngineModelSettings, hash: Hash32): EngineModel {
  const requests = new Map<RequestId, TrackedRequest>();
  const cache = createPrefixCache(settings.cacheBlocks, hash);
  const events: (CacheEvent & { readonly atMs: number })[] = [];
  const loads: (EngineLoad & { readonly atMs: number })[] = [];
  const loadedAtMs = new Map<string, number>();
  const counters = { prefillTokens: 0, cachedTokens: 0, decodeTokens: 0 };
  let queue: TrackedRequest[] = [];
  let running: TrackedRequest[] = [];
  let target: EngineTarget = { loaded: settings.loaded, role: 'mixed' };
  let { loaded } = settings;
  let loading: readonly LoadedModel[] = [];
  let highestFencingNumber = 0;
  let arrivalSeq = 0;
  let cacheSeq = 0;
  let isLeaving = false;
  let stepSlowFactor = 1;
  let deviceSlowFactor = 1;

  function hasVersion(request: GenerateRequest): boolean {
    return loaded.some(
      (entry) =>
        entry.model === request.model &&
        entry.version === request.version &&
        (request.adapter === '' || entry.adapters.includes(request.adapter)),
    );
  }

  function submit(request: GenerateRequest, nowMs: number): SubmitOutcome {
    if (isLeaving) return { kind: 'refused', cause: 'leaving' };
    if (!hasVersion(request)) return { kind: 'refused', cause: 'no_version' };
    if (request.generatedTokens.length >= request.maxTokens) {
      return { kind: 'refused', cause: 'bad_request' };
    }
    if (queue.length >= settings.maxQueued) return { kind: 'refused', cause: 'overloaded' };
    removeRequest(request.requestId);
    arrivalSeq += 1;
    const tracked: TrackedRequest = {
      request,
      arrivalSeq,
      tokens: [...request.generatedTokens],
      remainingPrefillTokens: 0,
      state: 'queued',
      finishedAtMs: 0,
    };
    requests.set(request.requestId, tracked);
    queue.push(tracked);
    queue.sort(
      (a, b) =>
        PRIORITY_RANK[a.request.priority] - PRIORITY_RANK[b.request.priority] ||
        a.arrivalSeq - b.arrivalSeq,
    );
    removeExpiredRequests(nowMs);
    return { kind: 'ok' };
  }

  function removeRequest(requestId: RequestId): void {
    queue = queue.filter((tracked) => tracked.request.requestId !== requestId);
    running = running.filter((tracked) => tracked.request.requestId !== requestId);
    requests.delete(requestId);
  }

  function removeExpiredRequests(nowMs: number): void {
    requests.forEach((tracked, requestId) => {
      const isExpired =
        tracked.state === 'finished' && nowMs - tracked.finishedAtMs > settings.finishedRetentionMs;
      if (isExpired) requests.delete(requestId);
    });
  }

  function admit(nowMs: number): void {
    while (running.length < settings.maxRunning && queue.length > 0) {
      const tracked = queue.shift();
      if (tracked === undefined) return;
      tracked.state = 'running';
      const tokens = [
        ...tokenizePrompt(tracked.request.prompt),
        ...tracked.request.generatedTokens,
      ];
      const cachedTokens = cache.matchPrefix(tokens);
      tracked.remainingPrefillTokens = tokens.length - cachedTokens;
      counters.cachedTokens += cachedTokens;
      recordCacheChanges(cache.store(tokens), nowMs);
      running.push(tracked);
    }
  }

  function recordCacheChanges(
    changes: readonly { kind: 'stored' | 'removed'; blockHash: string }[],
    nowMs: number,
  ): void {
    changes.forEach((change) => {
      cacheSeq += 1;
      events.push({ seq: cacheSeq, ...change, atMs: nowMs });
    });
    events.splice(0, Math.max(0, events.length - settings.maxCacheEvents));
  }

  function activeFault(tracked: TrackedRequest, nowMs: number): VersionFault | undefined {
    const { version, adapter, model } = tracked.request;
    const fault = settings.versionFaults[version];
    if (fault === undefined) return undefined;
    const ageMs = nowMs - (loadedAtMs.get(`${model}/${version}`) ?? 0);
    const isActive =
      ageMs >= fault.afterMs &&
      running.length >= fault.minRunning &&
      (fault.adapter === '' || fault.adapter === adapter);
    return isActive ? fault : undefined;
  }

  function step(nowMs: number, random: () => number): EngineOutput[] {
    admit(nowMs);
    const outputs: EngineOutput[] = [];
    let prefillBudget = settings.prefillTokensPerStep;
    stepSlowFactor = loading.length > 0 ? LOADING_SLOWDOWN_FACTOR : 1;
    running.slice().forEach((tracked) => {
      const { requestId } = tracked.request;
      const fault = activeFault(tracked, nowMs);
      if (fault?.kind === 'slow') stepSlowFactor = Math.max(stepSlowFactor, fault.factor);
      const isFirstToken = tracked.tokens.length === tracked.request.generatedTokens.length;
      if (fault?.kind === 'fails' && isFirstToken && random() < fault.failureRatio) {
        removeRequest(requestId);
        outputs.push({ kind: 'failed', requestId });
        return;
      }
      const prefilled = Math.min(prefillBudget, tracked.remainingPrefillTokens);
      prefillBudget -= prefilled;
      tracked.remainingPrefillTokens -= prefilled;
      counters.prefillTokens += prefilled;
      if (tracked.remainingPrefillTokens > 0) return;
      outputs.push(...decode(tracked, nowMs));
    });
    recordLoad(nowMs);
    return outputs;
  }

  function decode(tracked: TrackedRequest, nowMs: number): EngineOutput[] {
    const { request, tokens } = tracked;
    const { requestId } = request;
    const isPoisonRequest =
      settings.poisonMarker !== '' && request.prompt.includes(settings.poisonMarker);
    if (isPoisonRequest && tokens.length >= settings.poisonAfterTokens) {
      return [{ kind: 'crash', requestId }];
    }
    const index = tokens.length;
    const text = tokenText(request, index, hash);
    tokens.push(text);
    counters.decodeTokens += 1;
    const token: EngineOutput = { kind: 'token', requestId, index, text };
    if (tokens.length < request.maxTokens) return [token];
    tracked.state = 'finished';
    tracked.finishedAtMs = nowMs;
    running = running.filter((other) => other !== tracked);
    return [token, { kind: 'finish', requestId }];
  }

  function stepMs(): number {
    const batchMs = settings.baseStepMs + settings.stepMsPerRequest * running.length;
    return batchMs * stepSlowFactor * deviceSlowFactor;
  }

  function currentLoad(): EngineLoad {
    return {
      engineId: settings.engineId,
      state: isLeaving ? 'leaving' : 'live',
      role: target.role,
      running: running.length,
      queued: queue.length,
      maxRunning: settings.maxRunning,
      cacheUsedRatio: cache.usedRatio(),
      stepMs: stepMs(),
      loaded,
      reportAgeMs: 0,
    };
  }

  function recordLoad(nowMs: number): void {
    loads.push({ ...currentLoad(), atMs: nowMs });
    loads.splice(0, Math.max(0, loads.length - MAX_LOAD_RECORDS));
  }

  /**
   * Returns the newest record that is at least `loadLagMs` old. State, role and loaded versions are
   * always current, and so is the whole report of an idle engine.
   */
  function reportLoad(nowMs: number): EngineLoad {
    const current = currentLoad();
    const lagged = loads.filter((record) => nowMs - record.atMs >= settings.loadLagMs).at(-1);
    if (lagged === undefined || (running.length === 0 && queue.length === 0)) return current;
    const { atMs, ...report } = lagged;
    return {
      ...report,
      state: current.state,
      loaded,
      role: target.role,
      reportAgeMs: nowMs - atMs,
    };
  }

  function applyOrder(next: EngineOrder): OrderResult {
    if (settings.fencing === 'enforced' && next.fencingNumber < highestFencingNumber) {
      return { kind: 'stale', highestFencingNumber };
    }
    highestFencingNumber = Math.max(highestFencingNumber, next.fencingNumber);
    target = next.target;
    const isWanted = (entry: LoadedModel): boolean => includesVersion(target.loaded, entry);
    const isInUse = (entry: LoadedModel): boolean =>
      [...running, ...queue].some(
        ({ request }) => request.model === entry.model && request.version === entry.version,
      );
    loaded = loaded
      .filter((entry) => isWanted(entry) || isInUse(entry))
      .map((entry) => target.loaded.find((wanted) => isSameVersion(wanted, entry)) ?? entry);
    const versionsToFetch = target.loaded.filter(
      (entry) => !includesVersion(loaded, entry) && !includesVersion(loading, entry),
    );
    loading = [...loading.filter(isWanted), ...versionsToFetch];
    return { kind: 'ok', versionsToFetch };
  }

  return {
    submit,
    cancel: (requestId, attemptNo) => {
      const tracked = requests.get(requestId);
      if (tracked !== undefined && tracked.request.attemptNo <= attemptNo) removeRequest(requestId);
    },
    findRequest: (requestId) => requests.get(requestId),
    step,
    nextStepMs: () => (running.length + queue.length === 0 ? undefined : stepMs()),
    reportLoad,
    cacheEvents: (afterSeq, nowMs, random) => {
      const visible = events.filter(({ atMs }) => nowMs - atMs >= settings.cacheEventLagMs);
      const delivered = visible
        .filter(({ seq }) => seq > afterSeq)
        .filter(() => random() >= settings.cacheEventLossRatio);
      return {
        oldestSeq: events[0]?.seq ?? cacheSeq + 1,
        latestSeq: visible.at(-1)?.seq ?? 0,
        events: delivered.map(({ seq, kind, blockHash }) => ({ seq, kind, blockHash })),
      };
    },
    cacheSnapshot: () => ({ asOfSeq: cacheSeq, blockHashes: cache.blockHashes() }),
    applyOrder,
    onWeightsLoaded: (model, version, nowMs) => {
      const arrived = loading.filter((entry) => entry.model === model && entry.version === version);
      loading = loading.filter((entry) => !arrived.includes(entry));
      loaded = [...loaded, ...arrived];
      loadedAtMs.set(`${model}/${version}`, nowMs);
    },
    state: () => ({
      engineId: settings.engineId,
      target,
      loaded,
      loading,
      highestFencingNumber,
    }),
    leave: () => {
      isLeaving = true;
    },
    setSlowFactor: (factor) => {
      deviceSlowFactor = factor;
    },
    runningRequestIds: () => running.map(({ request }) => request.requestId),
    isIdle: () => running.length + queue.length === 0,
    workCounters: () => ({ ...counters }),
  };
}

function isSameVersion(a: LoadedModel, b: LoadedModel): boolean {
  return a.model === b.model && a.version === b.version;
}

function includesVersion(list: readonly LoadedModel[], entry: LoadedModel): boolean {
  return list.some((other) => isSameVersion(other, entry));
}
