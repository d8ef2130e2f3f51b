import { createPrefixCacheViews } from './cache';
import {
  createModelMeans,
  expectedPromptWaitMs,
  expectedSlotWaitMs,
  estimateLoads,
  updateMean,
  decodeFactor,
  prefillFactor,
  queueWaitFactor,
} from './estimate';
import { applyLoadReport, createEngineRecord, isLeaving, addUnreportedChange } from './engine';
import { createOutlierDetector } from './outlier-detector';
import { createSentBlocks, SENT_BLOCK_MAX_AGE_MS } from './sent';
import type { EngineId } from '../ids';
import type { CacheEventBatch, CacheBlockSnapshot, CacheEffect, PrefixCacheViews } from './cache';
import type { DomainLatency, EngineRecord } from './engine';
import type { ModelMeans } from './estimate';
import type { OutlierDetector } from './outlier-detector';
import type {
  LoadReport,
  NoEngineReason,
  EnginePickerSettings,
  PickOutcome,
  RouteEngine,
  RouteRequest,
  RoutedRequest,
  RoutedRequestResult,
} from './types';

/** Chooses engines for requests, under knowledge that is old and incomplete. */
export interface EnginePicker {
  /** Replaces the directory; engines that are no longer in it are forgotten. */
  readonly setEngines: (engines: readonly RouteEngine[]) => void;
  readonly onLoad: (engineId: EngineId, load: LoadReport, nowMs: number) => void;
  /** The engine itself said that it is leaving, for instance by refusing a request. */
  readonly onLeaving: (engineId: EngineId, nowMs: number) => void;
  /** The engine did not answer; its next load report ends this. */
  readonly onUnreachable: (engineId: EngineId) => void;
  /** A measured round trip to the engine, for the cost of its failure domain. */
  readonly onRoundTrip: (engineId: EngineId, roundTripMs: number) => void;
  readonly pick: (request: RouteRequest, nowMs: number, random: () => number) => PickOutcome;
  readonly onSent: (engineId: EngineId, request: RouteRequest, nowMs: number) => RoutedRequest;
  readonly onFirstToken: (send: RoutedRequest, nowMs: number) => void;
  readonly onEnd: (
    send: RoutedRequest,
    result: RoutedRequestResult,
    nowMs: number,
    tokens?: number,
  ) => void;
  readonly onCacheEvents: (
    engineId: EngineId,
    batch: CacheEventBatch,
    nowMs: number,
  ) => CacheEffect;
  readonly onCacheSnapshot: (engineId: EngineId, content: CacheBlockSnapshot) => CacheEffect;
  /** Cursor after which the engine's cache events are to be read. */
  readonly cacheCursor: (engineId: EngineId) => number;
  readonly outlierDetector: OutlierDetector;
}

/** Tokens whose pace counts as much as the time to the first token. */
const DECODE_TOKENS_IN_COST = 4;
/**
 * Engines whose cost is within half a mean prompt of the best one are the best few; the estimate is
 * no more exact than that.
 */
const EQUAL_COST_PROMPTS = 0.5;
const EQUAL_COST_MS = 5;
/** Results slower than this share of the expected time are measured against it. */
const MIN_EXPECTED_MS = 20;

/**
 * Prompts with equal first blocks prefer the same engines by hashing, as if half of the prompt were
 * cached there: other routers send the prefix there too, before any event tells so. With reports
 * 5 s old this raises the prefix hit ratio from 0.55 to 0.72 (seed 1, load 0.8, 10 s measured).
 */
const PREFERRED_ENGINES_PER_PREFIX = 2;
const PREFIX_GROUP_BLOCK = 3;
const PREFERRED_PREFILL_RATIO = 0.5;

/** `cache` may be shared by pickers that read the same events. */
export function createEnginePicker(
  settings: EnginePickerSettings,
  cache: PrefixCacheViews = createPrefixCacheViews(),
): EnginePicker {
  const records = new Map<EngineId, EngineRecord>();
  const byVersion = new Map<string, EngineRecord[]>();
  const meansByModel = new Map<string, ModelMeans>();
  const domains = new Map<string, DomainLatency>();
  const sentBlocks = createSentBlocks();
  const outlierDetector = createOutlierDetector({ ejectedMaxRatio: settings.ejectedMaxRatio });
  const candidates: EngineRecord[] = [];
  let isIndexStale = false;
  let depthGuess = 1;

  /** Groups engines by version, once after any number of changes. */
  function index(): void {
    if (!isIndexStale) return;
    isIndexStale = false;
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

  function meansOf(model: string): ModelMeans {
    const known = meansByModel.get(model);
    if (known !== undefined) return known;
    const created = createModelMeans();
    meansByModel.set(model, created);
    return created;
  }

  /** Fills `candidates`; the result says why there are none. */
  function collect(request: RouteRequest, random: () => number): NoEngineReason | undefined {
    candidates.length = 0;
    const list = byVersion.get(versionKey(request.model, request.version));
    if (list === undefined) return 'no_version';
    const route = routeKey(request);
    let leavingCount = 0;
    let excludedCount = 0;
    let spareCount = 0;
    for (const record of list) {
      if (!hasAdapter(record, request)) continue;
      if (isLeaving(record)) leavingCount += 1;
      else if (isExcluded(request, record)) excludedCount += 1;
      else if (record.isUnreachable || isHeldBack(record, route, random)) spareCount += 1;
      else candidates.push(record);
    }
    if (candidates.length > 0) return undefined;
    if (spareCount > 0) return collectSpare(list, request);
    if (excludedCount > 0) return 'all_excluded';
    return leavingCount > 0 ? 'all_leaving' : 'no_version';
  }

  /** Engines that look bad are better than none. */
  function collectSpare(list: readonly EngineRecord[], request: RouteRequest): undefined {
    for (const record of list) {
      const isAllowed = !isLeaving(record) && !request.excluded.has(record.engineId);
      if (isAllowed && hasAdapter(record, request)) candidates.push(record);
    }
  }

  function isHeldBack(record: EngineRecord, route: string, random: () => number): boolean {
    if (record.isFullyHealthy) return false;
    const weight = outlierDetector.weight(record.engineId, route);
    return weight < 1 && random() >= weight;
  }

  /** An ejected engine gets one request per probe period; urgent requests are not risked. */
  function findProbe(request: RouteRequest, nowMs: number): EngineRecord | undefined {
    if (request.priority === 'urgent') return undefined;
    const list = byVersion.get(versionKey(request.model, request.version)) ?? [];
    const { service } = list[0] ?? { service: '' };
    if (!outlierDetector.hasEjected(service)) return undefined;
    const route = routeKey(request);
    return list.find(
      (record) =>
        !isLeaving(record) &&
        !record.isUnreachable &&
        !request.excluded.has(record.engineId) &&
        hasAdapter(record, request) &&
        outlierDetector.claimProbe(record.engineId, route, nowMs),
    );
  }

  function domainOf(engine: RouteEngine): DomainLatency {
    const known = domains.get(engine.failureDomain);
    if (known !== undefined) return known;
    const created = { roundTripMs: initialRoundTripMs(engine) };
    domains.set(engine.failureDomain, created);
    return created;
  }

  function initialRoundTripMs(engine: RouteEngine): number {
    if (engine.failureDomain === settings.failureDomain) return settings.ownDomainRoundTripMs;
    return engine.region === settings.region
      ? settings.ownRegionRoundTripMs
      : settings.otherRegionRoundTripMs;
  }

  function isHeld(record: EngineRecord, blockKey: number, nowMs: number): boolean {
    if (record.cacheView.has(blockKey)) return true;
    if (nowMs - record.lastSentAtMs >= SENT_BLOCK_MAX_AGE_MS) return false;
    return sentBlocks.has(record.hashFactor, blockKey, nowMs);
  }

  /**
   * Leading blocks that the engine holds. A held block implies those before it. Most holders of a
   * prefix hold the same number, so the last result is tried before bisection.
   */
  function cachedBlocks(record: EngineRecord, blockKeys: readonly number[], nowMs: number): number {
    if (blockKeys.length === 0) return 0;
    if (!isHeld(record, blockKeys[0] ?? 0, nowMs)) return 0;
    let low = 1;
    let high = blockKeys.length;
    const guess = Math.min(high, depthGuess);
    if (isHeld(record, blockKeys[guess - 1] ?? 0, nowMs)) {
      low = guess;
      if (low < high && !isHeld(record, blockKeys[low] ?? 0, nowMs)) return low;
    } else {
      high = guess - 1;
    }
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if (isHeld(record, blockKeys[middle - 1] ?? 0, nowMs)) low = middle;
      else high = middle - 1;
    }
    depthGuess = low;
    return low;
  }

  function prefillTokens(record: EngineRecord, request: RouteRequest, nowMs: number): number {
    const cached = cachedBlocks(record, request.blockKeys, nowMs) * settings.blockTokens;
    // The last token is always processed.
    return Math.max(1, request.promptTokens - cached);
  }

  function price(request: RouteRequest, nowMs: number): void {
    const means = meansOf(request.model);
    estimateLoads(candidates, means, nowMs);
    const groupKey =
      request.blockKeys[Math.min(PREFIX_GROUP_BLOCK, request.blockKeys.length - 1)] ?? 0;
    const homeBound = PREFERRED_ENGINES_PER_PREFIX / candidates.length;
    const homeTokens = request.promptTokens * PREFERRED_PREFILL_RATIO;
    const priorityFactor = queueWaitFactor(request.priority);
    for (const record of candidates) {
      const ageMs = Math.max(0, nowMs - record.reportMeasuredAtMs);
      const ownMs = Math.max(0, record.unreportedPrefillTokens) / settings.prefillTokensPerMs;
      const queueMs =
        expectedPromptWaitMs(record, means, ageMs) + ownMs + expectedSlotWaitMs(record, means);
      const isHome = groupKey !== 0 && preferenceRank(record, groupKey) < homeBound;
      const tokens = prefillTokens(record, request, nowMs);
      const expectedTokens = isHome ? Math.min(tokens, homeTokens) : tokens;
      const prefillMs = expectedTokens / settings.prefillTokensPerMs;
      record.expectedTtftMs =
        queueMs * priorityFactor +
        prefillMs * prefillFactor(record.role) +
        record.stepMs +
        record.domainLatency.roundTripMs;
      record.costMs =
        record.expectedTtftMs +
        DECODE_TOKENS_IN_COST * record.estimatedStepMs * decodeFactor(record.role);
    }
  }

  function choose(means: ModelMeans, random: () => number): EngineRecord | undefined {
    let best = Infinity;
    for (const record of candidates) best = Math.min(best, record.costMs);
    const boundMs = best + EQUAL_COST_PROMPTS * means.prefillMs + EQUAL_COST_MS;
    let count = 0;
    let roomSum = 0;
    for (const record of candidates) {
      if (record.costMs > boundMs) continue;
      candidates[count] = record;
      roomSum += record.spareCapacity;
      count += 1;
    }
    const first = draw(count, roomSum, random);
    const second = draw(count, roomSum, random);
    if (first === undefined || second === undefined) return undefined;
    // Every router sees the same reports: preferring the better one again would make a herd. Only
    // what this router alone knows decides between the two.
    return second.unreportedRequests < first.unreportedRequests ? second : first;
  }

  function draw(count: number, roomSum: number, random: () => number): EngineRecord | undefined {
    let left = random() * roomSum;
    for (let at = 0; at < count; at += 1) {
      left -= candidates[at]?.spareCapacity ?? 0;
      if (left < 0) return candidates[at];
    }
    return candidates[count - 1];
  }

  function accept(record: EngineRecord, request: RouteRequest, nowMs: number): PickOutcome {
    const cachedTokens = request.promptTokens - prefillTokens(record, request, nowMs);
    return {
      kind: 'ok',
      engineId: record.engineId,
      expectedTtftMs: record.expectedTtftMs,
      cachedTokens,
    };
  }

  function pick(request: RouteRequest, nowMs: number, random: () => number): PickOutcome {
    index();
    const probe = findProbe(request, nowMs);
    if (probe !== undefined) return accept(probe, request, nowMs);
    const reason = collect(request, random);
    if (reason !== undefined) return { kind: 'none', reason };
    price(request, nowMs);
    const record = choose(meansOf(request.model), random);
    if (record === undefined) return { kind: 'none', reason: 'no_version' };
    return accept(record, request, nowMs);
  }

  function setEngines(engines: readonly RouteEngine[]): void {
    const kept = new Set(engines.map((engine) => engine.engineId));
    records.forEach((_, engineId) => {
      if (kept.has(engineId)) return;
      records.delete(engineId);
      cache.forget(engineId);
    });
    const idsByService = new Map<string, string[]>();
    engines.forEach((engine) => {
      const record = records.get(engine.engineId);
      if (record === undefined) addEngine(engine);
      else applyDirectoryEntry(record, engine, domainOf(engine));
      const serverIds = idsByService.get(engine.service);
      if (serverIds === undefined) idsByService.set(engine.service, [engine.engineId]);
      else serverIds.push(engine.engineId);
    });
    idsByService.forEach((serverIds, service) => outlierDetector.setServers(service, serverIds));
    isIndexStale = true;
  }

  function addEngine(engine: RouteEngine): void {
    // An odd factor maps distinct block keys to distinct products.
    const salt = settings.hash(engine.engineId) * 2 + 1;
    records.set(
      engine.engineId,
      createEngineRecord(engine, salt, cache.viewOf(engine.engineId), domainOf(engine)),
    );
  }

  function onSent(engineId: EngineId, request: RouteRequest, nowMs: number): RoutedRequest {
    const record = records.get(engineId);
    let tokens = request.promptTokens;
    if (record !== undefined) {
      tokens = prefillTokens(record, request, nowMs);
      addUnreportedChange(record, 1, tokens, nowMs);
      record.inFlight += 1;
      record.lastSentAtMs = nowMs;
      request.blockKeys.forEach((blockKey) => sentBlocks.add(record.hashFactor, blockKey, nowMs));
    }
    const means = meansOf(request.model);
    means.prefillMs = updateMean(means.prefillMs, tokens / settings.prefillTokensPerMs);
    return {
      engineId,
      model: request.model,
      route: routeKey(request),
      sentAtMs: nowMs,
      prefillTokens: tokens,
      expectedTtftMs: record?.expectedTtftMs ?? 0,
      firstTokenAtMs: undefined,
      hasEnded: false,
    };
  }

  function onFirstToken(send: RoutedRequest, nowMs: number): void {
    if (send.firstTokenAtMs !== undefined || send.hasEnded) return;
    send.firstTokenAtMs = nowMs;
    const record = records.get(send.engineId);
    if (record !== undefined) addUnreportedChange(record, 0, -send.prefillTokens, nowMs);
  }

  /** Time to first token and pace, each over what is usual for the model. */
  function slownessOf(send: RoutedRequest, nowMs: number, tokens: number): number | undefined {
    if (send.firstTokenAtMs === undefined) return undefined;
    const means = meansOf(send.model);
    const expectedMs = Math.max(MIN_EXPECTED_MS, send.expectedTtftMs);
    const ttftRatio = (send.firstTokenAtMs - send.sentAtMs) / expectedMs;
    const ttftSlowness = ttftRatio / Math.max(0.1, means.ttftRatio);
    means.ttftRatio = updateMean(means.ttftRatio, Math.min(ttftRatio, 4 * means.ttftRatio));
    if (tokens < 2) return ttftSlowness;
    const gapMs = (nowMs - send.firstTokenAtMs) / (tokens - 1);
    const gapSlowness = means.tokenGapMs === 0 ? 1 : gapMs / means.tokenGapMs;
    means.tokenGapMs =
      means.tokenGapMs === 0
        ? gapMs
        : updateMean(means.tokenGapMs, Math.min(gapMs, 4 * means.tokenGapMs));
    return Math.max(ttftSlowness, gapSlowness);
  }

  function onEnd(
    send: RoutedRequest,
    result: RoutedRequestResult,
    nowMs: number,
    tokens = 0,
  ): void {
    if (send.hasEnded) return;
    send.hasEnded = true;
    const record = records.get(send.engineId);
    const isPrefilled = send.firstTokenAtMs !== undefined;
    if (record !== undefined) {
      addUnreportedChange(record, -1, isPrefilled ? 0 : -send.prefillTokens, nowMs);
      record.inFlight = Math.max(0, record.inFlight - 1);
    }
    const means = meansOf(send.model);
    if (result === 'ok') means.requestMs = updateMean(means.requestMs, nowMs - send.sentAtMs);
    if (result === 'refused' || result === 'cancelled') return;
    const isSuccess = result === 'ok';
    const slownessRatio = isSuccess ? slownessOf(send, nowMs, tokens) : undefined;
    const outcome = slownessRatio === undefined ? { isSuccess } : { isSuccess, slownessRatio };
    outlierDetector.onResult(send.engineId, send.route, outcome, nowMs);
    if (record !== undefined) record.isFullyHealthy = outlierDetector.isFullyHealthy(send.engineId);
  }

  return {
    setEngines,
    onLoad: (engineId, load, nowMs) => {
      const record = records.get(engineId);
      if (record === undefined) return;
      const { loaded } = record;
      if (applyLoadReport(record, load, nowMs) && !isSameLoaded(loaded, record.loaded)) {
        isIndexStale = true;
      }
    },
    onLeaving: (engineId, nowMs) => {
      const record = records.get(engineId);
      if (record !== undefined) record.leavingSinceMs = nowMs;
    },
    onUnreachable: (engineId) => {
      const record = records.get(engineId);
      if (record !== undefined) record.isUnreachable = true;
    },
    onRoundTrip: (engineId, roundTripMs) => {
      const record = records.get(engineId);
      if (record === undefined) return;
      record.domainLatency.roundTripMs = updateMean(record.domainLatency.roundTripMs, roundTripMs);
    },
    pick,
    onSent,
    onFirstToken,
    onEnd,
    onCacheEvents: (engineId, batch, nowMs) =>
      records.get(engineId)?.cacheView.onEvents(batch, nowMs) ?? { kind: 'none' },
    onCacheSnapshot: (engineId, content) =>
      records.get(engineId)?.cacheView.onSnapshot(content) ?? { kind: 'none' },
    cacheCursor: (engineId) => records.get(engineId)?.cacheView.cursor() ?? 0,
    outlierDetector,
  };
}

/** What an engine may fail on alone: a version or an adapter. */
function routeKey(request: RouteRequest): string {
  return `${request.model}\u0000${request.version}\u0000${request.adapter}`;
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

function applyDirectoryEntry(
  record: EngineRecord,
  engine: RouteEngine,
  domain: DomainLatency,
): void {
  record.domainLatency = domain;
  record.service = engine.service;
  record.region = engine.region;
  record.failureDomain = engine.failureDomain;
  record.isLeavingInDirectory = engine.state === 'leaving';
}

function isExcluded(request: RouteRequest, record: EngineRecord): boolean {
  return request.excluded.size > 0 && request.excluded.has(record.engineId);
}

/** A number in [0, 1] that every router computes alike for the engine and the prefix. */
function preferenceRank(record: EngineRecord, groupKey: number): number {
  return Math.abs(Math.imul(groupKey, record.hashFactor)) / 2 ** 31;
}
