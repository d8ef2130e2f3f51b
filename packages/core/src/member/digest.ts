import {
  differsSignificantly,
  quantiseLoad,
  toEngineReport,
  unpackLoadEntries,
} from './load-entry';
import type { Hash32 } from '../hash/rendezvous';
import type { EngineId } from '../ids';
import type { LoadedVersion } from '../route/types';
import type { EngineReport, LoadEntry } from './load-entry';

/**
 * Load changes of the engines that one reader polls. A reader is a router that polls engines for
 * their load; a message carries sections of several readers.
 */
export interface ReaderSection {
  /** Hash of the reader's router id. */
  readonly readerKey: number;
  /** Rises by one with each section of the reader, so that a lost section shows as a gap. */
  readonly seq: number;
  readonly entries: readonly LoadEntry[];
  /** Slots that were newly assigned, or whose engine's loaded versions have changed. */
  readonly names: readonly SlotAssignment[];
}

/** The engine behind a slot number, by which load entries refer to it. */
export interface SlotAssignment {
  readonly slot: number;
  readonly engineId: EngineId;
  readonly loaded: readonly LoadedVersion[];
}

export interface DigestSettings {
  readonly readerKey: number;
  /** Must be higher than at any earlier start, e.g. the start time in seconds. */
  readonly firstSeq: number;
  readonly hash: Hash32;
  /** A reader without changes confirms its entries by an empty section at this interval. */
  readonly confirmIntervalMs: number;
  /** Loads of a reader are dropped after no section of it has arrived for this long. */
  readonly readerExpiryMs: number;
}

export const DIGEST_DEFAULTS = { confirmIntervalMs: 2_000, readerExpiryMs: 60_000 } as const;

export interface DigestOutcome {
  /** Sections that this router did not have yet and has to pass on. */
  readonly newSections: readonly ReaderSection[];
  /** Readers of which sections were lost, until a full digest arrives. */
  readonly incompleteReaders: readonly number[];
}

/** Loads of the region's engines, both polled by this router and received from other readers. */
export interface DigestTable {
  /** Sets the engines that this router polls; `isFirst` marks the first of an engine's two readers. */
  readonly assignEngines: (engines: ReadonlyMap<EngineId, { readonly isFirst: boolean }>) => void;
  readonly onReport: (engineId: EngineId, report: EngineReport, nowMs: number) => void;
  /** This router's changes since the last call; undefined if there is nothing to send. */
  readonly takeChanges: (nowMs: number) => ReaderSection | undefined;
  readonly onSections: (sections: readonly ReaderSection[], nowMs: number) => DigestOutcome;
  /** Complete state of the given readers, or of all, as far as it is known here. */
  readonly fullDigest: (
    readerKeys: readonly number[] | undefined,
    nowMs: number,
  ) => ReaderSection[];
  readonly onFullDigest: (sections: readonly ReaderSection[], nowMs: number) => void;
  readonly incompleteReaders: () => readonly number[];
  /** Latest known report of each engine, with its age at `nowMs`. */
  readonly loads: (nowMs: number) => Map<EngineId, EngineReport>;
}

interface KnownLoad {
  entry: LoadEntry;
  /** When the engine measured the report, on this router's clock. */
  asOfMs: number;
}

interface Reader {
  seq: number;
  isComplete: boolean;
  lastSectionMs: number;
  readonly names: Map<number, SlotAssignment>;
  readonly known: Map<number, KnownLoad>;
}

interface OwnEngine {
  readonly slot: number;
  isFirst: boolean;
  entry: LoadEntry | undefined;
  readMs: number;
  sent: LoadEntry | undefined;
  loaded: readonly LoadedVersion[];
  isSlotAnnounced: boolean;
  /** Polls in a row whose result differs from the first reader's entry. */
  mismatches: number;
}

/** The second reader reports an engine only when the first one was wrong this often in a row. */
const MISMATCH_LIMIT = 2;
const LOAD_STALE_MS = 5_000;

export function createDigestTable(settings: DigestSettings): DigestTable {
  const readers = new Map<number, Reader>();
  const own = new Map<EngineId, OwnEngine>();
  const removedEntries: LoadEntry[] = [];
  let ownSeq = settings.firstSeq;
  let forwardedSeq = settings.firstSeq;
  let lastSlot = 0;
  let lastSentMs = -Infinity;

  function assignEngines(engines: ReadonlyMap<EngineId, { readonly isFirst: boolean }>): void {
    own.forEach((engine, engineId) => {
      if (engines.has(engineId)) return;
      own.delete(engineId);
      if (engine.sent !== undefined) removedEntries.push({ ...engine.sent, isRemoved: true });
    });
    engines.forEach(({ isFirst }, engineId) => {
      const known = own.get(engineId);
      if (known !== undefined) {
        known.isFirst = isFirst;
        return;
      }
      lastSlot = (lastSlot + 1) % 65_536;
      own.set(engineId, {
        slot: lastSlot,
        isFirst,
        entry: undefined,
        readMs: 0,
        sent: undefined,
        loaded: [],
        isSlotAnnounced: false,
        mismatches: 0,
      });
    });
  }

  function onReport(engineId: EngineId, report: EngineReport, nowMs: number): void {
    const engine = own.get(engineId);
    if (engine === undefined) return;
    const loadedHash = settings.hash(JSON.stringify(report.loaded)) % 65_536;
    if (engine.entry?.loadedHash !== loadedHash) engine.isSlotAnnounced = false;
    engine.entry = quantiseLoad(report, engine.slot, loadedHash);
    engine.readMs = nowMs - report.reportAgeMs;
    engine.loaded = report.loaded;
    const otherEntry = engine.isFirst ? undefined : findOtherReaderEntry(engineId, nowMs);
    const isSame = otherEntry !== undefined && !differsSignificantly(engine.entry, otherEntry);
    engine.mismatches = isSame ? 0 : engine.mismatches + 1;
  }

  /** Returns the newest entry of another reader for the engine. */
  function findOtherReaderEntry(engineId: EngineId, nowMs: number): LoadEntry | undefined {
    let found: KnownLoad | undefined;
    readers.forEach((reader) => {
      if (nowMs - reader.lastSectionMs > LOAD_STALE_MS) return;
      reader.names.forEach((name, slot) => {
        const load = name.engineId === engineId ? reader.known.get(slot) : undefined;
        if (load !== undefined && (found === undefined || load.asOfMs > found.asOfMs)) found = load;
      });
    });
    return found?.entry;
  }

  function mustSend(engine: OwnEngine, nowMs: number): boolean {
    if (engine.entry === undefined) return false;
    engine.entry = { ...engine.entry, isStale: nowMs - engine.readMs > LOAD_STALE_MS };
    if (!engine.isFirst && engine.mismatches < MISMATCH_LIMIT) return false;
    return (
      engine.sent === undefined ||
      !engine.isSlotAnnounced ||
      differsSignificantly(engine.entry, engine.sent)
    );
  }

  function takeChanges(nowMs: number): ReaderSection | undefined {
    const changed = [...own.entries()].filter(([, engine]) => mustSend(engine, nowMs));
    const isEmpty = changed.length === 0 && removedEntries.length === 0;
    const hasSent = [...own.values()].some((engine) => engine.sent !== undefined);
    if (isEmpty && (!hasSent || nowMs - lastSentMs < settings.confirmIntervalMs)) return undefined;
    const names = changed
      .filter(([, engine]) => !engine.isSlotAnnounced)
      .map(([engineId, { slot, loaded }]) => ({ slot, engineId, loaded }));
    const entries = changed.map(([, engine]) => markSent(engine, nowMs));
    entries.push(...removedEntries.splice(0));
    ownSeq += 1;
    lastSentMs = nowMs;
    return { readerKey: settings.readerKey, seq: ownSeq, entries, names };
  }

  function markSent(engine: OwnEngine, nowMs: number): LoadEntry {
    const entry = { ...(engine.entry as LoadEntry), ageMs: ageMsOf(engine.readMs, nowMs) };
    engine.sent = entry;
    engine.isSlotAnnounced = true;
    return entry;
  }

  function onSections(sections: readonly ReaderSection[], nowMs: number): DigestOutcome {
    const newSections = sections.filter((section) => applySection(section, nowMs));
    return { newSections, incompleteReaders: incompleteReaders() };
  }

  function applySection(section: ReaderSection, nowMs: number): boolean {
    if (section.readerKey === settings.readerKey) return forwardOwn(section);
    const reader = readers.get(section.readerKey) ?? createReader(section.seq);
    readers.set(section.readerKey, reader);
    if (section.seq <= reader.seq) return false;
    if (section.seq !== reader.seq + 1) reader.isComplete = false;
    reader.seq = section.seq;
    storeSection(reader, section, nowMs);
    return true;
  }

  /** This router's own section comes back down the tree; the routers below it still need it. */
  function forwardOwn(section: ReaderSection): boolean {
    if (section.seq <= forwardedSeq) return false;
    forwardedSeq = section.seq;
    return true;
  }

  /** Earlier sections of the reader may be missing, so it is incomplete until a full digest comes. */
  function createReader(seq: number): Reader {
    return {
      seq: seq - 1,
      isComplete: false,
      lastSectionMs: 0,
      names: new Map(),
      known: new Map(),
    };
  }

  function storeSection(reader: Reader, section: ReaderSection, nowMs: number): void {
    reader.lastSectionMs = nowMs;
    section.names.forEach((name) => reader.names.set(name.slot, name));
    section.entries.forEach((entry) => {
      if (entry.isRemoved) {
        reader.known.delete(entry.slot);
        reader.names.delete(entry.slot);
        return;
      }
      reader.known.set(entry.slot, { entry, asOfMs: nowMs - entry.ageMs });
    });
  }

  function incompleteReaders(): number[] {
    return [...readers.entries()].flatMap(([key, reader]) => (reader.isComplete ? [] : [key]));
  }

  function fullDigest(readerKeys: readonly number[] | undefined, nowMs: number): ReaderSection[] {
    const isRequested = (key: number): boolean => readerKeys?.includes(key) ?? true;
    const sections = [...readers.entries()]
      .filter(([key, reader]) => reader.isComplete && isRequested(key))
      .map(([readerKey, reader]) => ({
        readerKey,
        seq: reader.seq,
        names: [...reader.names.values()],
        entries: [...reader.known.values()].map(({ entry, asOfMs }) => ({
          ...entry,
          ageMs: ageMsOf(asOfMs, nowMs),
        })),
      }));
    return isRequested(settings.readerKey) ? [...sections, ownFullDigest(nowMs)] : sections;
  }

  function ownFullDigest(nowMs: number): ReaderSection {
    const announced = [...own.entries()].filter(([, engine]) => engine.sent !== undefined);
    return {
      readerKey: settings.readerKey,
      seq: ownSeq,
      names: announced.map(([engineId, { slot, loaded }]) => ({ slot, engineId, loaded })),
      entries: announced.map(([, engine]) => ({
        ...(engine.sent as LoadEntry),
        ageMs: ageMsOf(engine.readMs, nowMs),
      })),
    };
  }

  function onFullDigest(sections: readonly ReaderSection[], nowMs: number): void {
    sections.forEach((section) => {
      if (section.readerKey === settings.readerKey) return;
      const known = readers.get(section.readerKey);
      // A full digest that is older than the sections received since would undo their changes.
      if (known !== undefined && section.seq < known.seq) return;
      const reader = { ...createReader(section.seq), seq: section.seq, isComplete: true };
      storeSection(reader, section, nowMs);
      readers.set(section.readerKey, reader);
    });
  }

  function loads(nowMs: number): Map<EngineId, EngineReport> {
    const newest = new Map<EngineId, { report: EngineReport; asOfMs: number }>();
    const keepNewest = (engineId: EngineId, report: EngineReport, asOfMs: number): void => {
      const known = newest.get(engineId);
      if (known === undefined || asOfMs > known.asOfMs) newest.set(engineId, { report, asOfMs });
    };
    readers.forEach((reader, key) => {
      if (nowMs - reader.lastSectionMs > settings.readerExpiryMs) readers.delete(key);
      reader.known.forEach((known, slot) => {
        const name = reader.names.get(slot);
        if (name === undefined) return;
        // Each section of a reader confirms its entries that are not marked stale.
        const confirmedMs = known.entry.isStale ? 0 : reader.lastSectionMs - known.entry.ageMs;
        const asOfMs = Math.max(known.asOfMs, confirmedMs);
        keepNewest(name.engineId, toEngineReport(known.entry, name.loaded, nowMs - asOfMs), asOfMs);
      });
    });
    own.forEach((engine, engineId) => {
      if (engine.entry === undefined) return;
      const report = toEngineReport(engine.entry, engine.loaded, nowMs - engine.readMs);
      keepNewest(engineId, report, engine.readMs);
    });
    return new Map([...newest.entries()].map(([engineId, { report }]) => [engineId, report]));
  }

  return {
    assignEngines,
    onReport,
    takeChanges,
    onSections,
    fullDigest,
    onFullDigest,
    incompleteReaders,
    loads,
  };
}

/** Builds a section from its packed entries. */
export function toSection(
  readerKey: number,
  seq: number,
  packed: Uint8Array,
  names: readonly SlotAssignment[],
): ReaderSection {
  return { readerKey, seq, entries: unpackLoadEntries(packed), names };
}

function ageMsOf(asOfMs: number, nowMs: number): number {
  return Math.min(65_535, Math.max(0, Math.round(nowMs - asOfMs)));
}
