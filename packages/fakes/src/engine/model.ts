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

/** How a version misbehaves. `minRunning` makes it appear only under load. */
export type VersionFault =
  | {
      readonly kind: 'fails';
      readonly failureRatio: number;
      readonly afterMs: number;
      readonly minRunning: number;
      /** Only requests with this adapter; empty for all. */
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
  /** A step takes baseStepMs + stepMsPerRequest × running, and yields one token a request. */
  readonly baseStepMs: number;
  readonly stepMsPerRequest: number;
  readonly prefillTokensPerStep: number;
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  readonly cacheEventLossRatio: number;
  /** Cache events kept for readers. */
  readonly maxCacheEvents: number;
  /** How long a finished request's tokens can still be read. */
  readonly finishedRetentionMs: number;
  readonly versionFaults: Readonly<Record<string, VersionFault>>;
  /** A prompt with this text crashes the engine once it has generated `poisonAfterTokens`. */
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

/** Everything an engine decides, without sockets and timers. */
export interface EngineModel {
  readonly submit: (request: GenerateRequest, nowMs: number) => SubmitOutcome;
  readonly cancel: (requestId: RequestId, attemptNo: AttemptNo) => void;
  /** Tokens so far, the journal prefix included; undefined for an unknown request. */
  readonly findRequest: (requestId: RequestId) => RequestProgress | undefined;
  /** Runs one step of the batch. */
  readonly step: (nowMs: number, random: () => number) => EngineOutput[];
  /** Duration of the next step; undefined while there is nothing to do. */
  readonly nextStepMs: () => number | undefined;
  readonly reportLoad: (nowMs: number) => EngineLoad;
  readonly cacheEvents: (afterSeq: number, nowMs: number, random: () => number) => CacheEvents;
  readonly cacheSnapshot: () => CacheSnapshot;
  /** Returns the versions whose weights have to be fetched. */
  readonly applyOrder: (order: EngineOrder) => OrderResult;
  readonly onWeightsLoaded: (model: string, version: string, nowMs: number) => void;
  readonly state: () => EngineState;
  readonly leave: () => void;
  /** Multiplies every step's duration, as a failing accelerator would. */
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
  const entries = new Map<RequestId, TrackedRequest>();
  const cache = createPrefixCache(settings.cacheBlocks, hash);
  const events: (CacheEvent & { readonly atMs: number })[] = [];
  const loads: (EngineLoad & { readonly atMs: number })[] = [];
  const loadedAtMs = new Map<string, number>();
  const work = { prefillTokens: 0, cachedTokens: 0, decodeTokens: 0 };
  let queue: TrackedRequest[] = [];
  let running: TrackedRequest[] = [];
  let target: EngineTarget = { loaded: settings.loaded, role: 'mixed' };
  let { loaded } = settings;
  let loading: readonly LoadedModel[] = [];
  let highestFencingNumber = 0;
  let arrivalSeq = 0;
  let cacheSeq = 0;
  let isLeaving = false;
  let slowFactor = 1;
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
    drop(request.requestId);
    arrivalSeq += 1;
    const entry: TrackedRequest = {
      request,
      arrivalSeq,
      tokens: [...request.generatedTokens],
      remainingPrefillTokens: 0,
      state: 'queued',
      finishedAtMs: 0,
    };
    entries.set(request.requestId, entry);
    queue.push(entry);
    queue.sort(
      (a, b) =>
        PRIORITY_RANK[a.request.priority] - PRIORITY_RANK[b.request.priority] ||
        a.arrivalSeq - b.arrivalSeq,
    );
    forgetFinished(nowMs);
    return { kind: 'ok' };
  }

  function drop(requestId: RequestId): void {
    queue = queue.filter((entry) => entry.request.requestId !== requestId);
    running = running.filter((entry) => entry.request.requestId !== requestId);
    entries.delete(requestId);
  }

  function forgetFinished(nowMs: number): void {
    entries.forEach((entry, requestId) => {
      const isOld =
        entry.state === 'finished' && nowMs - entry.finishedAtMs > settings.finishedRetentionMs;
      if (isOld) entries.delete(requestId);
    });
  }

  function admit(nowMs: number): void {
    while (running.length < settings.maxRunning && queue.length > 0) {
      const entry = queue.shift();
      if (entry === undefined) return;
      entry.state = 'running';
      const tokens = [...tokenizePrompt(entry.request.prompt), ...entry.request.generatedTokens];
      const cachedTokens = cache.matchPrefix(tokens);
      entry.remainingPrefillTokens = tokens.length - cachedTokens;
      work.cachedTokens += cachedTokens;
      publish(cache.store(tokens), nowMs);
      running.push(entry);
    }
  }

  function publish(
    changes: readonly { kind: 'stored' | 'removed'; blockHash: string }[],
    nowMs: number,
  ): void {
    changes.forEach((change) => {
      cacheSeq += 1;
      events.push({ seq: cacheSeq, ...change, atMs: nowMs });
    });
    events.splice(0, Math.max(0, events.length - settings.maxCacheEvents));
  }

  function activeFault(entry: TrackedRequest, nowMs: number): VersionFault | undefined {
    const { version, adapter, model } = entry.request;
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
    slowFactor = loading.length > 0 ? LOADING_SLOWDOWN_FACTOR : 1;
    running.slice().forEach((entry) => {
      const { requestId } = entry.request;
      const fault = activeFault(entry, nowMs);
      if (fault?.kind === 'slow') slowFactor = Math.max(slowFactor, fault.factor);
      const isFirst = entry.tokens.length === entry.request.generatedTokens.length;
      if (fault?.kind === 'fails' && isFirst && random() < fault.failureRatio) {
        drop(requestId);
        outputs.push({ kind: 'failed', requestId });
        return;
      }
      const prefilled = Math.min(prefillBudget, entry.remainingPrefillTokens);
      prefillBudget -= prefilled;
      entry.remainingPrefillTokens -= prefilled;
      work.prefillTokens += prefilled;
      if (entry.remainingPrefillTokens > 0) return;
      outputs.push(...decode(entry, nowMs));
    });
    recordLoad(nowMs);
    return outputs;
  }

  function decode(entry: TrackedRequest, nowMs: number): EngineOutput[] {
    const { request, tokens } = entry;
    const { requestId } = request;
    const isPoison = settings.poisonMarker !== '' && request.prompt.includes(settings.poisonMarker);
    if (isPoison && tokens.length >= settings.poisonAfterTokens) {
      return [{ kind: 'crash', requestId }];
    }
    const index = tokens.length;
    const text = tokenText(request, index, hash);
    tokens.push(text);
    work.decodeTokens += 1;
    const token: EngineOutput = { kind: 'token', requestId, index, text };
    if (tokens.length < request.maxTokens) return [token];
    entry.state = 'finished';
    entry.finishedAtMs = nowMs;
    running = running.filter((other) => other !== entry);
    return [token, { kind: 'finish', requestId }];
  }

  function stepMs(): number {
    const batchMs = settings.baseStepMs + settings.stepMsPerRequest * running.length;
    return batchMs * slowFactor * deviceSlowFactor;
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

  /** The newest record that is at least as old as the lag; versions and state are never late. */
  function reportLoad(nowMs: number): EngineLoad {
    const current = currentLoad();
    const old = loads.filter((entry) => nowMs - entry.atMs >= settings.loadLagMs).at(-1);
    if (old === undefined || (running.length === 0 && queue.length === 0)) return current;
    const { atMs, ...record } = old;
    return {
      ...record,
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
    const inUse = (entry: LoadedModel): boolean =>
      [...running, ...queue].some(
        ({ request }) => request.model === entry.model && request.version === entry.version,
      );
    loaded = loaded
      .filter((entry) => isWanted(entry) || inUse(entry))
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
      const entry = entries.get(requestId);
      if (entry !== undefined && entry.request.attemptNo <= attemptNo) drop(requestId);
    },
    findRequest: (requestId) => entries.get(requestId),
    step,
    nextStepMs: () => (running.length + queue.length === 0 ? undefined : stepMs()),
    reportLoad,
    cacheEvents: (afterSeq, nowMs, random) => {
      const due = events.filter(({ atMs }) => nowMs - atMs >= settings.cacheEventLagMs);
      const sent = due
        .filter(({ seq }) => seq > afterSeq)
        .filter(() => random() >= settings.cacheEventLossRatio);
      return {
        oldestSeq: events[0]?.seq ?? cacheSeq + 1,
        latestSeq: due.at(-1)?.seq ?? 0,
        events: sent.map(({ seq, kind, blockHash }) => ({ seq, kind, blockHash })),
      };
    },
    cacheSnapshot: () => ({ asOfSeq: cacheSeq, blockHashes: cache.blockHashes() }),
    applyOrder,
    onWeightsLoaded: (model, version, nowMs) => {
      const done = loading.filter((entry) => entry.model === model && entry.version === version);
      loading = loading.filter((entry) => !done.includes(entry));
      loaded = [...loaded, ...done];
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
    workCounters: () => ({ ...work }),
  };
}

function isSameVersion(a: LoadedModel, b: LoadedModel): boolean {
  return a.model === b.model && a.version === b.version;
}

function includesVersion(list: readonly LoadedModel[], entry: LoadedModel): boolean {
  return list.some((other) => isSameVersion(other, entry));
}
