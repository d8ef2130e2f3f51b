import { differs, quantise, toReport, unpackEntries } from './load-entry';
import type { Hash32 } from '../hash/rendezvous';
import type { EngineId } from '../ids';
import type { LoadedVersion } from '../route/types';
import type { EngineReport, LoadEntry } from './load-entry';

/** Changes of one reader's engines; sections of several readers travel in one message. */
export interface DigestSection {
  /** Short form of the reader's id. */
  readonly readerKey: number;
  /** One higher in each section of the reader. */
  readonly seq: number;
  readonly entries: readonly LoadEntry[];
  /** Engines that are new to the section or whose loaded versions have changed. */
  readonly names: readonly DigestName[];
}

/** What a slot stands for. */
export interface DigestName {
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
  readonly confirmEveryMs: number;
  /** Readers that were silent for this long are forgotten. */
  readonly forgetMs: number;
}

export const DIGEST_DEFAULTS = { confirmEveryMs: 2_000, forgetMs: 60_000 } as const;

export interface DigestOutcome {
  /** Sections that this router did not have, to be passed on. */
  readonly fresh: readonly DigestSection[];
  /** Readers of which sections are missing; a full digest repairs them. */
  readonly incomplete: readonly number[];
}

/** Loads of the region's engines: read here, and taken over from other readers. */
export interface Digests {
  /** Engines that this router reads; `isFirst` for the first of an engine's two readers. */
  readonly assign: (engines: ReadonlyMap<EngineId, { readonly isFirst: boolean }>) => void;
  readonly onReport: (engineId: EngineId, report: EngineReport, nowMs: number) => void;
  /** Own changes since the last call; undefined if there is nothing to tell. */
  readonly takeOwn: (nowMs: number) => DigestSection | undefined;
  readonly onSections: (sections: readonly DigestSection[], nowMs: number) => DigestOutcome;
  /** Complete state of the readers asked for, as far as it is known here. */
  readonly full: (readerKeys: readonly number[] | undefined, nowMs: number) => DigestSection[];
  readonly onFull: (sections: readonly DigestSection[], nowMs: number) => void;
  readonly incomplete: () => readonly number[];
  /** Latest known report of each engine, with its present age. */
  readonly loads: (nowMs: number) => Map<EngineId, EngineReport>;
}

interface Known {
  entry: LoadEntry;
  /** When the engine measured the report, on this router's clock. */
  asOfMs: number;
}

interface Reader {
  seq: number;
  isComplete: boolean;
  heardMs: number;
  readonly names: Map<number, DigestName>;
  readonly known: Map<number, Known>;
}

interface OwnEngine {
  readonly slot: number;
  isFirst: boolean;
  entry: LoadEntry | undefined;
  readMs: number;
  sent: LoadEntry | undefined;
  loaded: readonly LoadedVersion[];
  isNamed: boolean;
  /** Readings in a row that the first reader's entry does not match. */
  mismatches: number;
}

/** A second reader speaks up only when the first one is wrong twice in a row. */
const MISMATCH_LIMIT = 2;
const STALE_MS = 5_000;

export function createDigests(settings: DigestSettings): Digests {
  const readers = new Map<number, Reader>();
  const own = new Map<EngineId, OwnEngine>();
  const goneSlots: LoadEntry[] = [];
  let ownSeq = settings.firstSeq;
  let passedSeq = settings.firstSeq;
  let lastSlot = 0;
  let lastSentMs = -Infinity;

  function assign(engines: ReadonlyMap<EngineId, { readonly isFirst: boolean }>): void {
    own.forEach((engine, engineId) => {
      if (engines.has(engineId)) return;
      own.delete(engineId);
      if (engine.sent !== undefined) goneSlots.push({ ...engine.sent, isGone: true });
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
        isNamed: false,
        mismatches: 0,
      });
    });
  }

  function onReport(engineId: EngineId, report: EngineReport, nowMs: number): void {
    const engine = own.get(engineId);
    if (engine === undefined) return;
    const tag = settings.hash(JSON.stringify(report.loaded)) % 65_536;
    if (engine.entry?.loadedTag !== tag) engine.isNamed = false;
    engine.entry = quantise(report, engine.slot, tag);
    engine.readMs = nowMs - report.reportAgeMs;
    engine.loaded = report.loaded;
    const others = engine.isFirst ? undefined : findOther(engineId, nowMs);
    const isMatched = others !== undefined && !differs(engine.entry, others);
    engine.mismatches = isMatched ? 0 : engine.mismatches + 1;
  }

  /** Newest entry of another reader for the engine. */
  function findOther(engineId: EngineId, nowMs: number): LoadEntry | undefined {
    let best: Known | undefined;
    readers.forEach((reader) => {
      if (nowMs - reader.heardMs > STALE_MS) return;
      reader.names.forEach((name, slot) => {
        const known = name.engineId === engineId ? reader.known.get(slot) : undefined;
        if (known !== undefined && (best === undefined || known.asOfMs > best.asOfMs)) best = known;
      });
    });
    return best?.entry;
  }

  function mustSend(engine: OwnEngine, nowMs: number): boolean {
    if (engine.entry === undefined) return false;
    engine.entry = { ...engine.entry, isStale: nowMs - engine.readMs > STALE_MS };
    if (!engine.isFirst && engine.mismatches < MISMATCH_LIMIT) return false;
    return engine.sent === undefined || !engine.isNamed || differs(engine.entry, engine.sent);
  }

  function takeOwn(nowMs: number): DigestSection | undefined {
    const changed = [...own.entries()].filter(([, engine]) => mustSend(engine, nowMs));
    const isQuiet = changed.length === 0 && goneSlots.length === 0;
    const hasSent = [...own.values()].some((engine) => engine.sent !== undefined);
    if (isQuiet && (!hasSent || nowMs - lastSentMs < settings.confirmEveryMs)) return undefined;
    const names = changed
      .filter(([, engine]) => !engine.isNamed)
      .map(([engineId, { slot, loaded }]) => ({ slot, engineId, loaded }));
    const entries = changed.map(([, engine]) => markSent(engine, nowMs));
    entries.push(...goneSlots.splice(0));
    ownSeq += 1;
    lastSentMs = nowMs;
    return { readerKey: settings.readerKey, seq: ownSeq, entries, names };
  }

  function markSent(engine: OwnEngine, nowMs: number): LoadEntry {
    const entry = { ...(engine.entry as LoadEntry), ageMs: ageOf(engine.readMs, nowMs) };
    engine.sent = entry;
    engine.isNamed = true;
    return entry;
  }

  function onSections(sections: readonly DigestSection[], nowMs: number): DigestOutcome {
    const fresh = sections.filter((section) => applySection(section, nowMs));
    return { fresh, incomplete: incomplete() };
  }

  function applySection(section: DigestSection, nowMs: number): boolean {
    if (section.readerKey === settings.readerKey) return passOwn(section);
    const reader = readers.get(section.readerKey) ?? createReader(section.seq);
    readers.set(section.readerKey, reader);
    if (section.seq <= reader.seq) return false;
    if (section.seq !== reader.seq + 1) reader.isComplete = false;
    reader.seq = section.seq;
    store(reader, section, nowMs);
    return true;
  }

  /** An own section comes back down the tree, and the routers below still need it. */
  function passOwn(section: DigestSection): boolean {
    if (section.seq <= passedSeq) return false;
    passedSeq = section.seq;
    return true;
  }

  /** A reader is complete from its first section on only if a full digest says so. */
  function createReader(seq: number): Reader {
    return { seq: seq - 1, isComplete: false, heardMs: 0, names: new Map(), known: new Map() };
  }

  function store(reader: Reader, section: DigestSection, nowMs: number): void {
    reader.heardMs = nowMs;
    section.names.forEach((name) => reader.names.set(name.slot, name));
    section.entries.forEach((entry) => {
      if (entry.isGone) {
        reader.known.delete(entry.slot);
        reader.names.delete(entry.slot);
        return;
      }
      reader.known.set(entry.slot, { entry, asOfMs: nowMs - entry.ageMs });
    });
  }

  function incomplete(): number[] {
    return [...readers.entries()].flatMap(([key, reader]) => (reader.isComplete ? [] : [key]));
  }

  function full(readerKeys: readonly number[] | undefined, nowMs: number): DigestSection[] {
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
    return isAsked(settings.readerKey) ? [...sections, fullOwn(nowMs)] : sections;
  }

  function fullOwn(nowMs: number): DigestSection {
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

  function onFull(sections: readonly DigestSection[], nowMs: number): void {
    sections.forEach((section) => {
      if (section.readerKey === settings.readerKey) return;
      const known = readers.get(section.readerKey);
      // An older state than the sections seen since would put changes back.
      if (known !== undefined && section.seq < known.seq) return;
      const reader = { ...createReader(section.seq), seq: section.seq, isComplete: true };
      store(reader, section, nowMs);
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
      if (nowMs - reader.heardMs > settings.forgetMs) readers.delete(key);
      reader.known.forEach((known, slot) => {
        const name = reader.names.get(slot);
        if (name === undefined) return;
        // A reader that is heard without a change confirms its entries.
        const confirmedMs = known.entry.isStale ? 0 : reader.heardMs - known.entry.ageMs;
        const asOfMs = Math.max(known.asOfMs, confirmedMs);
        offer(name.engineId, toReport(known.entry, name.loaded, nowMs - asOfMs), asOfMs);
      });
    });
    own.forEach((engine, engineId) => {
      if (engine.entry === undefined) return;
      const report = toReport(engine.entry, engine.loaded, nowMs - engine.readMs);
      offer(engineId, report, engine.readMs);
    });
    return new Map([...newest.entries()].map(([engineId, { report }]) => [engineId, report]));
  }

  return { assign, onReport, takeOwn, onSections, full, onFull, incomplete, loads };
}

/** Section with its entries taken from their packed form. */
export function toSection(
  readerKey: number,
  seq: number,
  packed: Uint8Array,
  names: readonly DigestName[],
): DigestSection {
  return { readerKey, seq, entries: unpackEntries(packed), names };
}

function ageOf(asOfMs: number, nowMs: number): number {
  return Math.min(65_535, Math.max(0, Math.round(nowMs - asOfMs)));
}
