import type { EngineRole, LoadReport } from '../route/types';

/** Bytes of one engine in a digest. */
export const LOAD_ENTRY_BYTES = 12;

/** The numbers of a load report, coarse enough that small changes need no message. */
export interface LoadEntry {
  /** Number that the reader gave to the engine. */
  readonly slot: number;
  /** The reader no longer reads the engine. */
  readonly isRemoved: boolean;
  readonly isLeaving: boolean;
  /** The reader cannot reach the engine at present, so its silence confirms nothing. */
  readonly isStale: boolean;
  readonly role: EngineRole;
  /** On a logarithmic scale, as the next three. */
  readonly running: number;
  readonly queued: number;
  readonly maxRunning: number;
  readonly step: number;
  readonly cacheUsed: number;
  /** Age of the report when the entry was sent. */
  readonly ageMs: number;
  /** Changes when the engine's loaded versions do. */
  readonly loadedHash: number;
}

export interface EngineReport extends LoadReport {
  readonly cacheUsedRatio: number;
}

const ROLES: readonly EngineRole[] = ['mixed', 'prefill', 'decode'];
const LEAVING_FLAG = 4;
const REMOVED_FLAG = 8;
const STALE_FLAG = 16;
/** Eight steps a doubling: about 9% between neighbouring values. */
const STEPS_PER_DOUBLING = 8;
const STEP_UNITS_PER_MS = 10;
const CACHE_STEPS = 32;
const MAX_AGE_MS = 65_535;
/** Smaller differences, about 19%, are noise of the engine's batches. */
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

/** The report as other routers see it. */
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

/** Whether routers have to hear of the new entry. */
export function differsSignificantly(next: LoadEntry, sent: LoadEntry): boolean {
  const isOther =
    next.isRemoved !== sent.isRemoved ||
    next.isLeaving !== sent.isLeaving ||
    next.isStale !== sent.isStale ||
    next.role !== sent.role ||
    next.maxRunning !== sent.maxRunning ||
    next.loadedHash !== sent.loadedHash;
  // An empty queue decides where a request goes, so its end is never noise.
  const isQueueOther = (next.queued === 0) !== (sent.queued === 0);
  const noisy: readonly (readonly [number, number])[] = [
    [next.running, sent.running],
    [next.queued, sent.queued],
    [next.step, sent.step],
    [next.cacheUsed, sent.cacheUsed],
  ];
  return isOther || isQueueOther || noisy.some(([a, b]) => Math.abs(a - b) >= NOISE_STEPS);
}

/** Writes entries one after the other, 12 bytes each. */
export function packLoadEntries(entries: readonly LoadEntry[]): Uint8Array {
  const bytes = new Uint8Array(entries.length * LOAD_ENTRY_BYTES);
  const view = new DataView(bytes.buffer);
  entries.forEach((entry, index) => {
    const at = index * LOAD_ENTRY_BYTES;
    const flags =
      (entry.isLeaving ? LEAVING_FLAG : 0) +
      (entry.isRemoved ? REMOVED_FLAG : 0) +
      (entry.isStale ? STALE_FLAG : 0);
    view.setUint16(at, entry.slot);
    view.setUint8(at + 2, ROLES.indexOf(entry.role) + flags);
    view.setUint8(at + 3, entry.running);
    view.setUint8(at + 4, entry.queued);
    view.setUint8(at + 5, entry.maxRunning);
    view.setUint8(at + 6, entry.step);
    view.setUint8(at + 7, entry.cacheUsed);
    view.setUint16(at + 8, entry.ageMs);
    view.setUint16(at + 10, entry.loadedHash);
  });
  return bytes;
}

/** Reads what packEntries wrote; an incomplete last entry is left out. */
export function unpackLoadEntries(bytes: Uint8Array): LoadEntry[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const count = Math.floor(bytes.byteLength / LOAD_ENTRY_BYTES);
  return Array.from({ length: count }, (_, index) => {
    const at = index * LOAD_ENTRY_BYTES;
    const flags = view.getUint8(at + 2);
    return {
      slot: view.getUint16(at),
      isRemoved: flags % STALE_FLAG >= REMOVED_FLAG,
      isLeaving: flags % REMOVED_FLAG >= LEAVING_FLAG,
      isStale: flags >= STALE_FLAG,
      role: ROLES[flags % LEAVING_FLAG] ?? 'mixed',
      running: view.getUint8(at + 3),
      queued: view.getUint8(at + 4),
      maxRunning: view.getUint8(at + 5),
      step: view.getUint8(at + 6),
      cacheUsed: view.getUint8(at + 7),
      ageMs: view.getUint16(at + 8),
      loadedHash: view.getUint16(at + 10),
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
