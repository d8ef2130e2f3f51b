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

/** Changes of one reader's engines; sections of several readers travel in one message. */
export interface ReaderSection {
  /** Short form of the reader's id. */
  readonly readerKey: number;
  /** One higher in each section of the reader. */
  readonly seq: number;
  readonly entries: readonly LoadEntry[];
  /** Engines that are new to the section or whose loaded versions have changed. */
  readonly names: readonly SlotAssignment[];
}

/** What a slot stands for. */
export interface SlotAssignment {
  readonly slot: number;
  readonly engineId: EngineId;
  readonly loaded: readonly LoadedVersion[];
}

export interface DigestSettings {
  readonly readerKey: number;
  /** Higher than at any earlier start; the start time in seconds serves. */
  readonly firstSeq: number;
  readonly hash: Hash32;
  /** An unchanged reader shows this often that its entries still hold. */
  readonly confirmIntervalMs: number;
  /** Readers that were silent for this long are forgotten. */
  readonly readerExpiryMs: number;
}

export const DIGEST_DEFAULTS = { confirmIntervalMs: 2_000, readerExpiryMs: 60_000 } as const;

export interface DigestOutcome {
  /** Sections that this router did not have, to be passed on. */
  readonly newSections: readonly ReaderSection[];
  /** Readers of which sections are missing; a full digest repairs them. */
  readonly incompleteReaders: readonly number[];
}

/** Loads of the region's engines: read here, and taken over from other readers. */
export interface LoadDigests {
  /** Engines that this router reads; `isFirst` for the first of an engine's two readers. */
  readonly assignEngines: (engines: ReadonlyMap<EngineId, { readonly isFirst: boolean }>) => void;
  readonly onReport: (engineId: EngineId, report: EngineReport, nowMs: number) => void;
  /** Own changes since the last call; undefined if there is nothing to tell. */
  readonly takeChanges: (nowMs: number) => ReaderSection | undefined;
  readonly onSections: (sections: readonly ReaderSection[], nowMs: number) => DigestOutcome;
  /** Complete state of the readers asked for, as far as it is known here. */
  readonly fullDigest: (
    readerKeys: readonly number[] | undefined,
    nowMs: number,
  ) => ReaderSection[];
  readonly onFullDigest: (sections: readonly ReaderSection[], nowMs: number) => void;
  readonly incompleteReaders: () => readonly number[];
  /** Latest known report of each engine, with its present age. */
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
  /** Readings in a row that the first reader's entry does not match. */
  mismatches: number;
}

/** A second reader speaks up only when the first one is wrong twice in a row. */
const MISMATCH_LIMIT = 2;
const LOAD_STALE_MS = 5_000;

export function createLoadDigests(settings: DigestSettings): LoadDigests {
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
    const tag = settings.hash(JSON.stringify(report.loaded)) % 65_536;
    if (engine.entry?.loadedHash !== tag) engine.isSlotAnnounced = false;
    engine.entry = quantiseLoad(report, engine.slot, tag);
    engine.readMs = nowMs - report.reportAgeMs;
    engine.loaded = report.loaded;
    const others = engine.isFirst ? undefined : findOtherReaderEntry(engineId, nowMs);
    const isMatched = others !== undefined && !differsSignificantly(engine.entry, others);
    engine.mismatches = isMatched ? 0 : engine.mismatches + 1;
  }

  /** Newest entry of another reader for the engine. */
  function findOtherReaderEntry(engineId: EngineId, nowMs: number): LoadEntry | undefined {
    let best: KnownLoad | undefined;
    readers.forEach((reader) => {
      if (nowMs - reader.lastSectionMs > LOAD_STALE_MS) return;
      reader.names.forEach((name, slot) => {
        const known = name.engineId === engineId ? reader.known.get(slot) : undefined;
        if (known !== undefined && (best === undefined || known.asOfMs > best.asOfMs)) best = known;
      });
    });
    return best?.entry;
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
    const isQuiet = changed.length === 0 && removedEntries.length === 0;
    const hasSent = [...own.values()].some((engine) => engine.sent !== undefined);
    if (isQuiet && (!hasSent || nowMs - lastSentMs < settings.confirmIntervalMs)) return undefined;
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
    const entry = { ...(engine.entry as LoadEntry), ageMs: ageOf(engine.readMs, nowMs) };
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

  /** An own section comes back down the tree, and the routers below still need it. */
  function forwardOwn(section: ReaderSection): boolean {
    if (section.seq <= forwardedSeq) return false;
    forwardedSeq = section.seq;
    return true;
  }

  /** A reader is complete from its first section on only if a full digest says so. */
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
    const isAsked = (key: number): boolean => readerKeys?.includes(key) ?? true;
    const sections = [...readers.entries()]
      .filter(([key, reader]) => reader.isComplete && isAsked(key))
      .map(([readerKey, reader]) => ({
        readerKey,
        seq: reader.seq,
        names: [...reader.names.values()],
        entries: [...reader.known.values()].map(({ entry, asOfMs }) => ({
          ...entry,
          ageMs: ageOf(asOfMs, nowMs),
        })),
      }));
    return isAsked(settings.readerKey) ? [...sections, ownFullDigest(nowMs)] : sections;
  }

  function ownFullDigest(nowMs: number): ReaderSection {
    const shown = [...own.entries()].filter(([, engine]) => engine.sent !== undefined);
    return {
      readerKey: settings.readerKey,
      seq: ownSeq,
      names: shown.map(([engineId, { slot, loaded }]) => ({ slot, engineId, loaded })),
      entries: shown.map(([, engine]) => ({
        ...(engine.sent as LoadEntry),
        ageMs: ageOf(engine.readMs, nowMs),
      })),
    };
  }

  function onFullDigest(sections: readonly ReaderSection[], nowMs: number): void {
    sections.forEach((section) => {
      if (section.readerKey === settings.readerKey) return;
      const known = readers.get(section.readerKey);
      // An older state than the sections seen since would put changes back.
      if (known !== undefined && section.seq < known.seq) return;
      const reader = { ...createReader(section.seq), seq: section.seq, isComplete: true };
      storeSection(reader, section, nowMs);
      readers.set(section.readerKey, reader);
    });
  }

  function loads(nowMs: number): Map<EngineId, EngineReport> {
    const newest = new Map<EngineId, { report: EngineReport; asOfMs: number }>();
    const offer = (engineId: EngineId, report: EngineReport, asOfMs: number): void => {
      const known = newest.get(engineId);
      if (known === undefined || asOfMs > known.asOfMs) newest.set(engineId, { report, asOfMs });
    };
    readers.forEach((reader, key) => {
      if (nowMs - reader.lastSectionMs > settings.readerExpiryMs) readers.delete(key);
      reader.known.forEach((known, slot) => {
        const name = reader.names.get(slot);
        if (name === undefined) return;
        // A reader that is heard without a change confirms its entries.
        const confirmedMs = known.entry.isStale ? 0 : reader.lastSectionMs - known.entry.ageMs;
        const asOfMs = Math.max(known.asOfMs, confirmedMs);
        offer(name.engineId, toEngineReport(known.entry, name.loaded, nowMs - asOfMs), asOfMs);
      });
    });
    own.forEach((engine, engineId) => {
      if (engine.entry === undefined) return;
      const report = toEngineReport(engine.entry, engine.loaded, nowMs - engine.readMs);
      offer(engineId, report, engine.readMs);
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

/** Section with its entries taken from their packed form. */
export function toSection(
  readerKey: number,
  seq: number,
  packed: Uint8Array,
  names: readonly SlotAssignment[],
): ReaderSection {
  return { readerKey, seq, entries: unpackLoadEntries(packed), names };
}

function ageOf(asOfMs: number, nowMs: number): number {
  return Math.min(65_535, Math.max(0, Math.round(nowMs - asOfMs)));
}
