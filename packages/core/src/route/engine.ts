import type { EngineId, FailureDomain, Region } from '../ids';
import type { PrefixCacheView } from './cache';
import type { EngineRole, LoadedVersion, LoadReport, RouteEngine } from './types';

const MAX_UNREPORTED_CHANGES = 512;
const LEAVING_REVOKE_DELAY_MS = 3_000;

/** A send or an end of this router that the engine's last report does not include. */
interface UnreportedChange {
  readonly atMs: number;
  readonly requests: number;
  readonly prefillTokens: number;
}

/** Measured cost of reaching a failure domain. */
export interface DomainLatency {
  roundTripMs: number;
}

/** What this router knows of one engine. */
export interface EngineRecord {
  readonly engineId: EngineId;
  service: string;
  region: Region;
  failureDomain: FailureDomain;
  isLeavingInDirectory: boolean;
  /** Latest sign from the engine itself (report or refusal) that it is leaving. */
  leavingSinceMs: number | undefined;
  reportMeasuredAtMs: number;
  role: EngineRole;
  running: number;
  queued: number;
  maxRunning: number;
  stepMs: number;
  loaded: readonly LoadedVersion[];
  unreportedChanges: UnreportedChange[];
  unreportedRequests: number;
  unreportedPrefillTokens: number;
  /** Own requests in flight. */
  inFlight: number;
  lastSentAtMs: number;
  /** False if the judge may allow less than the normal traffic. */
  isFullyHealthy: boolean;
  domainLatency: DomainLatency;
  /** The engine did not answer; it is used only if no other one answers. */
  isUnreachable: boolean;
  /** Sets own sends to this engine apart from others in one table. */
  readonly hashFactor: number;
  readonly cacheView: PrefixCacheView;
  /** Scratch of one decision. */
  costMs: number;
  expectedTtftMs: number;
  estimatedRunning: number;
  estimatedStepMs: number;
  spareCapacity: number;
  reportWeight: number;
}

/** An engine without a load report: it is no candidate, because its versions are unknown. */
export function createEngineRecord(
  engine: RouteEngine,
  hashFactor: number,
  cacheView: PrefixCacheView,
  domainLatency: DomainLatency,
): EngineRecord {
  return {
    engineId: engine.engineId,
    service: engine.service,
    region: engine.region,
    failureDomain: engine.failureDomain,
    isLeavingInDirectory: engine.state === 'leaving',
    leavingSinceMs: undefined,
    reportMeasuredAtMs: -Infinity,
    role: 'mixed',
    running: 0,
    queued: 0,
    maxRunning: 1,
    stepMs: 0,
    loaded: [],
    unreportedChanges: [],
    unreportedRequests: 0,
    unreportedPrefillTokens: 0,
    inFlight: 0,
    lastSentAtMs: -Infinity,
    isFullyHealthy: true,
    domainLatency,
    isUnreachable: false,
    hashFactor,
    cacheView,
    costMs: 0,
    expectedTtftMs: 0,
    estimatedRunning: 0,
    estimatedStepMs: 0,
    spareCapacity: 0,
    reportWeight: 1,
  };
}

export function isLeaving(record: EngineRecord): boolean {
  return record.isLeavingInDirectory || record.leavingSinceMs !== undefined;
}

/** Applies a report unless a newer one is already known. */
export function applyLoadReport(record: EngineRecord, load: LoadReport, nowMs: number): boolean {
  const measuredAtMs = nowMs - load.reportAgeMs;
  if (measuredAtMs <= record.reportMeasuredAtMs) return false;
  record.reportMeasuredAtMs = measuredAtMs;
  record.isUnreachable = false;
  record.role = load.role;
  record.running = load.running;
  record.queued = load.queued;
  record.maxRunning = Math.max(1, load.maxRunning);
  record.stepMs = load.stepMs;
  record.loaded = load.loaded;
  updateLeaving(record, load, measuredAtMs);
  dropReportedChanges(record, measuredAtMs);
  return true;
}

/** Notes a send (+1) or an end (-1) until a report includes it. */
export function addUnreportedChange(
  record: EngineRecord,
  requests: number,
  prefillTokens: number,
  nowMs: number,
): void {
  record.unreportedChanges.push({ atMs: nowMs, requests, prefillTokens });
  // Without reports the oldest changes count as reflected.
  if (record.unreportedChanges.length > MAX_UNREPORTED_CHANGES) dropOldestChange(record);
  record.unreportedRequests += requests;
  record.unreportedPrefillTokens += prefillTokens;
}

function dropOldestChange(record: EngineRecord): void {
  const oldest = record.unreportedChanges.shift();
  if (oldest === undefined) return;
  record.unreportedRequests -= oldest.requests;
  record.unreportedPrefillTokens -= oldest.prefillTokens;
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
  if (leavingSinceMs !== undefined && measuredAtMs >= leavingSinceMs + LEAVING_REVOKE_DELAY_MS) {
    record.leavingSinceMs = undefined;
  }
}

function dropReportedChanges(record: EngineRecord, measuredAtMs: number): void {
  const oldest = record.unreportedChanges[0];
  if (oldest === undefined || oldest.atMs > measuredAtMs) return;
  record.unreportedChanges = record.unreportedChanges.filter(
    (change) => change.atMs > measuredAtMs,
  );
  record.unreportedRequests = 0;
  record.unreportedPrefillTokens = 0;
  record.unreportedChanges.forEach((change) => {
    record.unreportedRequests += change.requests;
    record.unreportedPrefillTokens += change.prefillTokens;
  });
}
