import { assertNever } from '../outcome';
import { applyLoad, createEngineRecord, isLeaving, noteOwnChange } from './engine';
import type { EngineId } from '../ids';
import type { EngineRecord } from './engine';
import type {
  EngineRole,
  LoadReport,
  NoEngineReason,
  PickerSettings,
  PickOutcome,
  RouteEngine,
  RoutePriority,
  RouteRequest,
  Send,
  SendResult,
} from './types';

/** Engines from which the two candidates are drawn. */
const BEST_COUNT = 4;
/** An engine this much dearer than the best is not among the best few. */
const BAND_RATIO = 1.25;
const BAND_MS = 5;
/** Tokens whose pace counts as much as the time to the first token. */
const PACE_TOKENS = 16;
/** Service time of a request before one has been measured. */
const INITIAL_SERVICE_MS = 5_000;
const INITIAL_PREFILL_MS = 100;
const SMOOTHING_RATIO = 0.05;

/** Chooses engines for requests, under knowledge that is old and incomplete. */
export interface Picker {
  /** Replaces the directory; engines that are no longer in it are forgotten. */
  readonly setEngines: (engines: readonly RouteEngine[]) => void;
  readonly onLoad: (engineId: EngineId, load: LoadReport, nowMs: number) => void;
  /** The engine itself said that it is leaving, for instance by refusing a request. */
  readonly onLeaving: (engineId: EngineId, nowMs: number) => void;
  readonly pick: (request: RouteRequest, nowMs: number, random: () => number) => PickOutcome;
  readonly onSent: (engineId: EngineId, request: RouteRequest, nowMs: number) => Send;
  readonly onFirstToken: (send: Send, nowMs: number) => void;
  readonly onEnd: (send: Send, result: SendResult, nowMs: number) => void;
}

export function createPicker(settings: PickerSettings): Picker {
  const records = new Map<EngineId, EngineRecord>();
  const byVersion = new Map<string, EngineRecord[]>();
  const candidates: EngineRecord[] = [];
  let meanServiceMs = INITIAL_SERVICE_MS;
  let meanPrefillMs = INITIAL_PREFILL_MS;

  function index(): void {
    byVersion.clear();
    records.forEach((record) => {
      record.loaded.forEach(({ model, version }) => {
        const key = versionKey(model, version);
        const list = byVersion.get(key);
        if (list === undefined) byVersion.set(key, [record]);
        else list.push(record);
      });
    });
  }

  function collect(request: RouteRequest): NoEngineReason | undefined {
    candidates.length = 0;
    const list = byVersion.get(versionKey(request.model, request.version));
    if (list === undefined) return 'no_version';
    let leavingCount = 0;
    let excludedCount = 0;
    for (const record of list) {
      if (!hasAdapter(record, request)) continue;
      if (isLeaving(record)) leavingCount += 1;
      else if (request.excluded.has(record.engineId)) excludedCount += 1;
      else candidates.push(record);
    }
    if (candidates.length > 0) return undefined;
    if (excludedCount > 0) return 'all_excluded';
    return leavingCount > 0 ? 'all_leaving' : 'no_version';
  }

  function networkMs(record: EngineRecord): number {
    if (record.failureDomain === settings.failureDomain) return settings.ownDomainMs;
    if (record.region === settings.region) return settings.ownRegionMs;
    return settings.otherRegionMs;
  }

  function price(request: RouteRequest, nowMs: number): void {
    const meanLoad = meanOf(candidates, (record) => record.running + record.queued);
    for (const record of candidates) {
      const freshness = Math.exp(-(nowMs - record.measuredAtMs) / settings.agingMs);
      const reported = record.running + record.queued;
      const aged = meanLoad + (reported - meanLoad) * freshness;
      const occupancy = Math.max(0, aged + record.unreflectedRequests);
      const waiting = Math.max(0, occupancy - record.maxRunning + 1);
      const slotWaitMs = (waiting * meanServiceMs) / record.maxRunning;
      const backlogMs =
        record.queued * freshness * meanPrefillMs +
        Math.max(0, record.unreflectedTokens) / settings.prefillTokensPerMs;
      const prefillMs = request.promptTokens / settings.prefillTokensPerMs;
      const queueMs = (slotWaitMs + backlogMs) * queueFactor(request.priority);
      record.ttftMs =
        queueMs + prefillMs * prefillFactor(record.role) + record.stepMs + networkMs(record);
      record.costMs = record.ttftMs + PACE_TOKENS * record.stepMs * paceFactor(record.role);
    }
  }

  function choose(random: () => number): EngineRecord | undefined {
    candidates.sort((a, b) => a.costMs - b.costMs);
    const best = candidates[0];
    if (best === undefined) return undefined;
    const boundMs = best.costMs * BAND_RATIO + BAND_MS;
    let count = 1;
    while (count < BEST_COUNT && (candidates[count]?.costMs ?? Infinity) <= boundMs) count += 1;
    const first = candidates[Math.floor(random() * count)];
    const second = candidates[Math.floor(random() * count)];
    if (first === undefined || second === undefined) return best;
    return first.costMs <= second.costMs ? first : second;
  }

  return {
    setEngines: (engines) => {
      const kept = new Set(engines.map((engine) => engine.engineId));
      records.forEach((_, engineId) => {
        if (!kept.has(engineId)) records.delete(engineId);
      });
      engines.forEach((engine) => {
        const record = records.get(engine.engineId);
        if (record === undefined) records.set(engine.engineId, createEngineRecord(engine));
        else applyDirectory(record, engine);
      });
      index();
    },
    onLoad: (engineId, load, nowMs) => {
      const record = records.get(engineId);
      if (record === undefined) return;
      const { loaded } = record;
      if (applyLoad(record, load, nowMs) && !isSameLoaded(loaded, record.loaded)) index();
    },
    onLeaving: (engineId, nowMs) => {
      const record = records.get(engineId);
      if (record !== undefined) record.leavingSinceMs = nowMs;
    },
    pick: (request, nowMs, random) => {
      const reason = collect(request);
      if (reason !== undefined) return { kind: 'none', reason };
      price(request, nowMs);
      const record = choose(random);
      if (record === undefined) return { kind: 'none', reason: 'no_version' };
      return { kind: 'ok', engine: record.engineId, expectedTtftMs: record.ttftMs };
    },
    onSent: (engineId, request, nowMs) => {
      const record = records.get(engineId);
      const prefillTokens = request.promptTokens;
      if (record !== undefined) {
        noteOwnChange(record, 1, prefillTokens, nowMs);
        record.inFlight += 1;
      }
      return {
        engineId,
        sentAtMs: nowMs,
        prefillTokens,
        expectedTtftMs: record?.ttftMs ?? 0,
        firstTokenAtMs: undefined,
        hasEnded: false,
      };
    },
    onFirstToken: (send, nowMs) => {
      if (send.firstTokenAtMs !== undefined || send.hasEnded) return;
      send.firstTokenAtMs = nowMs;
      const record = records.get(send.engineId);
      if (record !== undefined) noteOwnChange(record, 0, -send.prefillTokens, nowMs);
      const prefillMs = send.prefillTokens / settings.prefillTokensPerMs;
      meanPrefillMs += SMOOTHING_RATIO * (prefillMs - meanPrefillMs);
    },
    onEnd: (send, result, nowMs) => {
      if (send.hasEnded) return;
      send.hasEnded = true;
      const record = records.get(send.engineId);
      const isPrefilled = send.firstTokenAtMs !== undefined;
      if (record !== undefined) {
        noteOwnChange(record, -1, isPrefilled ? 0 : -send.prefillTokens, nowMs);
        record.inFlight = Math.max(0, record.inFlight - 1);
      }
      if (result !== 'ok') return;
      meanServiceMs += SMOOTHING_RATIO * (nowMs - send.sentAtMs - meanServiceMs);
    },
  };
}

/** Engines serve urgent requests first, so they wait behind a smaller part of the queue. */
function queueFactor(priority: RoutePriority): number {
  switch (priority) {
    case 'urgent':
      return 0.25;
    case 'normal':
      return 1;
    case 'batch':
      return 1.5;
    default:
      return assertNever(priority);
  }
}

/** A decode engine processes prompts, but slowly. */
function prefillFactor(role: EngineRole): number {
  return role === 'decode' ? 4 : 1;
}

/** A prefill engine generates, but slowly. */
function paceFactor(role: EngineRole): number {
  return role === 'prefill' ? 4 : 1;
}

function versionKey(model: string, version: string): string {
  return `${model}\u0000${version}`;
}

function hasAdapter(record: EngineRecord, request: RouteRequest): boolean {
  if (request.adapter === '') return true;
  return record.loaded.some(
    (entry) =>
      entry.model === request.model &&
      entry.version === request.version &&
      entry.adapters.includes(request.adapter),
  );
}

function isSameLoaded(a: LoadReport['loaded'], b: LoadReport['loaded']): boolean {
  if (a === b) return true;
  if (a.length !== b.length) return false;
  return a.every((entry, at) => entry.model === b[at]?.model && entry.version === b[at]?.version);
}

function applyDirectory(record: EngineRecord, engine: RouteEngine): void {
  record.service = engine.service;
  record.region = engine.region;
  record.failureDomain = engine.failureDomain;
  record.isListedLeaving = engine.state === 'leaving';
}

function meanOf<T>(items: readonly T[], valueOf: (item: T) => number): number {
  let sum = 0;
  for (const item of items) sum += valueOf(item);
  return items.length === 0 ? 0 : sum / items.length;
}
