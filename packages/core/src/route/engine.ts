import type { EngineId, FailureDomain, Region } from '../ids';
import type { PrefixCacheView } from './cache';
import type { EngineRole, LoadedVersion, LoadReport, RouteEngine } from './types';

const MAX_UNREPORTED_CHANGES = 512;
const LEAVING_REVOKE_DELAY_MS = 3_000;

/** Load that this router added to or removed from an engine after the engine's latest report. */
interface UnreportedChange {
  readonly atMs: number;
  readonly requests: number;
  readonly prefillTokens: number;
}

/** Mean round trip to the engines of a failure domain. */
export interface DomainLatency {
  roundTripMs: number;
}

/** A router's state for one engine. */
export interface EngineRecord {
  readonly engineId: EngineId;
  service: string;
  region: Region;
  failureDomain: FailureDomain;
  isLeavingInDirectory: boolean;
  /** Time of the engine's latest report or refusal that said it is leaving. */
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
  /** Requests of this router that the engine has not ended. */
  inFlight: number;
  lastSentAtMs: number;
  /** False if the outlier detector may give the engine less than its normal traffic. */
  isFullyHealthy: boolean;
  domainLatency: DomainLatency;
  /** The engine did not answer; it gets requests only while no other engine can serve them. */
  isUnreachable: boolean;
  /**
   * Odd number from a hash of the engine's id. Its product with a block key is the key of the block in
   * a table of the blocks sent to all engines.
   */
  readonly hashFactor: number;
  readonly cacheView: PrefixCacheView;
  // The fields below are recomputed for each routing decision.
  costMs: number;
  expectedTtftMs: number;
  estimatedRunning: number;
  estimatedStepMs: number;
  spareCapacity: number;
  /** Weight of the latest report in the estimates; decreases with the report's age. */
  reportWeight: number;
}

/** The engine gets no requests before its first report, because its loaded versions are unknown. */
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

/** Applies a report; false if a newer one is already known. */
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

/** Counts a sent (+1) or ended (-1) request until a report includes it. */
export function addUnreportedChange(
  record: EngineRecord,
  requests: number,
  prefillTokens: number,
  nowMs: number,
): void {
  record.unreportedChanges.push({ atMs: nowMs, requests, prefillTokens });
  // If no report arrives, the oldest changes are dropped as if one had included them.
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
 * A report that says 'live' ends the leaving state only if it was measured well after the engine said
 * that it leaves: a leaving engine may report its earlier state for a moment.
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
