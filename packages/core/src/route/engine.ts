import type { EngineId, FailureDomain, Region } from '../ids';
import type { CacheView } from './cache';
import type { EngineRole, LoadedVersion, LoadReport, RouteEngine } from './types';

const MAX_OWN_CHANGES = 512;
const LEAVING_HOLD_MS = 3_000;

/** A send or an end of this router that the engine's last report does not include. */
interface OwnChange {
  readonly atMs: number;
  readonly requests: number;
  readonly prefillTokens: number;
}

/** Measured cost of reaching a failure domain. */
export interface DomainCost {
  roundTripMs: number;
}

/** What this router knows of one engine. */
export interface EngineRecord {
  readonly engineId: EngineId;
  service: string;
  region: Region;
  failureDomain: FailureDomain;
  isListedLeaving: boolean;
  /** Latest sign from the engine itself (report or refusal) that it is leaving. */
  leavingSinceMs: number | undefined;
  measuredAtMs: number;
  role: EngineRole;
  running: number;
  queued: number;
  maxRunning: number;
  stepMs: number;
  loaded: readonly LoadedVersion[];
  ownChanges: OwnChange[];
  unreflectedRequests: number;
  unreflectedTokens: number;
  /** Own requests in flight. */
  inFlight: number;
  lastSentAtMs: number;
  /** False if the judge may allow less than the normal traffic. */
  isHealthy: boolean;
  domain: DomainCost;
  /** The engine did not answer; it is used only if no other one answers. */
  isUnreachable: boolean;
  /** Sets own sends to this engine apart from others in one table. */
  readonly salt: number;
  readonly cache: CacheView;
  /** Scratch of one decision. */
  costMs: number;
  ttftMs: number;
  agedRunning: number;
  agedStepMs: number;
  room: number;
  freshness: number;
}

/** An engine without a load report: it is no candidate, because its versions are unknown. */
export function createEngineRecord(
  engine: RouteEngine,
  salt: number,
  cache: CacheView,
  domain: DomainCost,
): EngineRecord {
  return {
    engineId: engine.engineId,
    service: engine.service,
    region: engine.region,
    failureDomain: engine.failureDomain,
    isListedLeaving: engine.state === 'leaving',
    leavingSinceMs: undefined,
    measuredAtMs: -Infinity,
    role: 'mixed',
    running: 0,
    queued: 0,
    maxRunning: 1,
    stepMs: 0,
    loaded: [],
    ownChanges: [],
    unreflectedRequests: 0,
    unreflectedTokens: 0,
    inFlight: 0,
    lastSentAtMs: -Infinity,
    isHealthy: true,
    domain,
    isUnreachable: false,
    salt,
    cache,
    costMs: 0,
    ttftMs: 0,
    agedRunning: 0,
    agedStepMs: 0,
    room: 0,
    freshness: 1,
  };
}

export function isLeaving(record: EngineRecord): boolean {
  return record.isListedLeaving || record.leavingSinceMs !== undefined;
}

/** Applies a report unless a newer one is already known. */
export function applyLoad(record: EngineRecord, load: LoadReport, nowMs: number): boolean {
  const measuredAtMs = nowMs - load.reportAgeMs;
  if (measuredAtMs <= record.measuredAtMs) return false;
  record.measuredAtMs = measuredAtMs;
  record.isUnreachable = false;
  record.role = load.role;
  record.running = load.running;
  record.queued = load.queued;
  record.maxRunning = Math.max(1, load.maxRunning);
  record.stepMs = load.stepMs;
  record.loaded = load.loaded;
  updateLeaving(record, load, measuredAtMs);
  dropReflected(record, measuredAtMs);
  return true;
}

/** Notes a send (+1) or an end (-1) until a report includes it. */
export function noteOwnChange(
  record: EngineRecord,
  requests: number,
  prefillTokens: number,
  nowMs: number,
): void {
  record.ownChanges.push({ atMs: nowMs, requests, prefillTokens });
  // Without reports the oldest changes count as reflected.
  if (record.ownChanges.length > MAX_OWN_CHANGES) dropOldest(record);
  record.unreflectedRequests += requests;
  record.unreflectedTokens += prefillTokens;
}

function dropOldest(record: EngineRecord): void {
  const oldest = record.ownChanges.shift();
  if (oldest === undefined) return;
  record.unreflectedRequests -= oldest.requests;
  record.unreflectedTokens -= oldest.prefillTokens;
}

/**
 * A report revokes the sign only if it was measured well after it: a leaving engine may go on
 * reporting its earlier state for a moment.
 */
function updateLeaving(record: EngineRecord, load: LoadReport, measuredAtMs: number): void {
  if (load.state === 'leaving') {
    record.leavingSinceMs = measuredAtMs;
    return;
  }
  const { leavingSinceMs } = record;
  if (leavingSinceMs !== undefined && measuredAtMs >= leavingSinceMs + LEAVING_HOLD_MS) {
    record.leavingSinceMs = undefined;
  }
}

function dropReflected(record: EngineRecord, measuredAtMs: number): void {
  const oldest = record.ownChanges[0];
  if (oldest === undefined || oldest.atMs > measuredAtMs) return;
  record.ownChanges = record.ownChanges.filter((change) => change.atMs > measuredAtMs);
  record.unreflectedRequests = 0;
  record.unreflectedTokens = 0;
  record.ownChanges.forEach((change) => {
    record.unreflectedRequests += change.requests;
    record.unreflectedTokens += change.prefillTokens;
  });
}
