import type { EngineId, FailureDomain, Region } from '../ids';
import type { EngineRole, LoadedVersion, LoadReport, RouteEngine } from './types';

/** A send or an end of this router that the engine's last report does not include. */
interface OwnChange {
  readonly atMs: number;
  readonly requests: number;
  readonly prefillTokens: number;
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
  /** Scratch of one decision. */
  costMs: number;
  ttftMs: number;
}

/** An engine without a load report: it is no candidate, because its versions are unknown. */
export function createEngineRecord(engine: RouteEngine): EngineRecord {
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
    costMs: 0,
    ttftMs: 0,
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
  record.unreflectedRequests += requests;
  record.unreflectedTokens += prefillTokens;
}

/** A report that is older than the sign cannot revoke it. */
function updateLeaving(record: EngineRecord, load: LoadReport, measuredAtMs: number): void {
  if (load.state === 'leaving') {
    record.leavingSinceMs = measuredAtMs;
    return;
  }
  const { leavingSinceMs } = record;
  if (leavingSinceMs !== undefined && measuredAtMs > leavingSinceMs) {
    record.leavingSinceMs = undefined;
  }
}

function dropReflected(record: EngineRecord, measuredAtMs: number): void {
  if (record.ownChanges.length === 0) return;
  record.ownChanges = record.ownChanges.filter((change) => change.atMs > measuredAtMs);
  record.unreflectedRequests = 0;
  record.unreflectedTokens = 0;
  record.ownChanges.forEach((change) => {
    record.unreflectedRequests += change.requests;
    record.unreflectedTokens += change.prefillTokens;
  });
}
