import type { EngineRole, LoadReport } from '../route/types';

/** Size of an encoded entry. */
export const LOAD_ENTRY_BYTES = 12;

/** A load report, quantised so coarsely that small changes need no message. */
export interface LoadEntry {
  /** Number that the reader has assigned to the engine. */
  readonly slot: number;
  /** The reader no longer polls the engine. */
  readonly isRemoved: boolean;
  readonly isLeaving: boolean;
  /** The reader can't poll the engine at present, so an unchanged entry is no confirmation. */
  readonly isStale: boolean;
  readonly role: EngineRole;
  /** `running`, `queued`, `maxRunning` and `step` (a duration) are on a logarithmic scale. */
  readonly running: number;
  readonly queued: number;
  readonly maxRunning: number;
  readonly step: number;
  readonly cacheUsed: number;
  /** Age of the report when the entry was sent. */
  readonly ageMs: number;
  /** Hash of the engine's loaded versions. */
  readonly loadedHash: number;
}

export interface EngineReport extends LoadReport {
  readonly cacheUsedRatio: number;
}

const ROLES: readonly EngineRole[] = ['mixed', 'prefill', 'decode'];
const LEAVING_FLAG = 4;
const REMOVED_FLAG = 8;
const STALE_FLAG = 16;
/** Eight steps per doubling make neighbouring values differ by about 9%. */
const STEPS_PER_DOUBLING = 8;
const STEP_UNITS_PER_MS = 10;
const CACHE_STEPS = 32;
const MAX_AGE_MS = 65_535;
/** Differences of fewer steps, i.e. below about 19%, are noise from the engine's batching. */
const NOISE_STEPS = 2;

export function quantiseLoad(report: EngineReport, slot: number, loadedHash: number): LoadEntry {
  return {
    slot,
    isRemoved: false,
    isLeaving: report.state === 'leaving',
    isStale: false,
    role: report.role,
    running: toLogScale(report.running),
    queued: toLogScale(report.queued),
    maxRunning: toLogScale(report.maxRunning),
    step: toLogScale(report.stepMs * STEP_UNITS_PER_MS),
    cacheUsed: Math.round(Math.min(1, Math.max(0, report.cacheUsedRatio)) * CACHE_STEPS),
    ageMs: Math.min(MAX_AGE_MS, Math.max(0, Math.round(report.reportAgeMs))),
    loadedHash,
  };
}

/** Restores the report from an entry, within the precision of the quantisation. */
export function toEngineReport(
  entry: LoadEntry,
  loaded: EngineReport['loaded'],
  ageMs: number,
): EngineReport {
  return {
    state: entry.isLeaving ? 'leaving' : 'live',
    role: entry.role,
    running: Math.round(fromLogScale(entry.running)),
    queued: Math.round(fromLogScale(entry.queued)),
    maxRunning: Math.round(fromLogScale(entry.maxRunning)),
    stepMs: fromLogScale(entry.step) / STEP_UNITS_PER_MS,
    cacheUsedRatio: entry.cacheUsed / CACHE_STEPS,
    loaded,
    reportAgeMs: ageMs,
  };
}

/** Whether the new entry differs enough from the sent one to be sent again. */
export function differsSignificantly(next: LoadEntry, sent: LoadEntry): boolean {
  const hasOtherState =
    next.isRemoved !== sent.isRemoved ||
    next.isLeaving !== sent.isLeaving ||
    next.isStale !== sent.isStale ||
    next.role !== sent.role ||
    next.maxRunning !== sent.maxRunning ||
    next.loadedHash !== sent.loadedHash;
  // Requests are routed to engines with an empty queue, so a change to or from empty is no noise.
  const hasQueueEmptinessChanged = (next.queued === 0) !== (sent.queued === 0);
  const noisyValues: readonly (readonly [number, number])[] = [
    [next.running, sent.running],
    [next.queued, sent.queued],
    [next.step, sent.step],
    [next.cacheUsed, sent.cacheUsed],
  ];
  return (
    hasOtherState ||
    hasQueueEmptinessChanged ||
    noisyValues.some(([a, b]) => Math.abs(a - b) >= NOISE_STEPS)
  );
}

/** Encodes entries in 12 bytes each. */
export function packLoadEntries(entries: readonly LoadEntry[]): Uint8Array {
  const bytes = new Uint8Array(entries.length * LOAD_ENTRY_BYTES);
  const view = new DataView(bytes.buffer);
  entries.forEach((entry, index) => {
    const offset = index * LOAD_ENTRY_BYTES;
    const flags =
      (entry.isLeaving ? LEAVING_FLAG : 0) +
      (entry.isRemoved ? REMOVED_FLAG : 0) +
      (entry.isStale ? STALE_FLAG : 0);
    view.setUint16(offset, entry.slot);
    view.setUint8(offset + 2, ROLES.indexOf(entry.role) + flags);
    view.setUint8(offset + 3, entry.running);
    view.setUint8(offset + 4, entry.queued);
    view.setUint8(offset + 5, entry.maxRunning);
    view.setUint8(offset + 6, entry.step);
    view.setUint8(offset + 7, entry.cacheUsed);
    view.setUint16(offset + 8, entry.ageMs);
    view.setUint16(offset + 10, entry.loadedHash);
  });
  return bytes;
}

/** Decodes the output of packLoadEntries; an incomplete last entry is dropped. */
export function unpackLoadEntries(bytes: Uint8Array): LoadEntry[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const count = Math.floor(bytes.byteLength / LOAD_ENTRY_BYTES);
  return Array.from({ length: count }, (_, index) => {
    const offset = index * LOAD_ENTRY_BYTES;
    const flags = view.getUint8(offset + 2);
    return {
      slot: view.getUint16(offset),
      isRemoved: flags % STALE_FLAG >= REMOVED_FLAG,
      isLeaving: flags % REMOVED_FLAG >= LEAVING_FLAG,
      isStale: flags >= STALE_FLAG,
      role: ROLES[flags % LEAVING_FLAG] ?? 'mixed',
      running: view.getUint8(offset + 3),
      queued: view.getUint8(offset + 4),
      maxRunning: view.getUint8(offset + 5),
      step: view.getUint8(offset + 6),
      cacheUsed: view.getUint8(offset + 7),
      ageMs: view.getUint16(offset + 8),
      loadedHash: view.getUint16(offset + 10),
    };
  });
}

function toLogScale(value: number): number {
  const steps = Math.round(Math.log2(1 + Math.max(0, value)) * STEPS_PER_DOUBLING);
  return Math.min(255, steps);
}

function fromLogScale(steps: number): number {
  return 2 ** (steps / STEPS_PER_DOUBLING) - 1;
}
