import { loadHashFunctions } from '@mimosamill/adapters';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  asId,
  createDigestTable,
  DIGEST_DEFAULTS,
  LOAD_ENTRY_BYTES,
  findLoadReaders,
  findTreePosition,
  packLoadEntries,
  quantiseLoad,
  toEngineReport,
  unpackLoadEntries,
} from '../../src/index';
import type { DigestTable, EngineId, EngineReport, TreeMember } from '../../src/index';

const { hash32 } = await loadHashFunctions();

function createReport(running: number, queued = 0, version = 'v1'): EngineReport {
  return {
    state: 'live',
    role: 'mixed',
    running,
    queued,
    maxRunning: 64,
    stepMs: 20,
    cacheUsedRatio: 0.5,
    loaded: [{ model: 'm', version, adapters: [] }],
    reportAgeMs: 0,
  };
}

function create(readerKey: number): DigestTable {
  return createDigestTable({ ...DIGEST_DEFAULTS, readerKey, firstSeq: 100, hash: hash32 });
}

function createMembers(count: number): TreeMember[] {
  return Array.from({ length: count }, (_, n) => ({
    routerId: asId(`r${n}`),
    failureDomain: asId(`d${n % 3}`),
  }));
}

const reportArbitrary = fc.record({
  engine: fc.integer({ min: 0, max: 3 }),
  running: fc.integer({ min: 0, max: 64 }),
  queued: fc.integer({ min: 0, max: 500 }),
  version: fc.constantFrom('v1', 'v2'),
  isLost: fc.boolean(),
});

describe('load digests', () => {
  // Guards against routing by a load that was lost on the way and never corrected.
  it('show a loss by the sequence number and are repaired by a full digest', () => {
    const property = fc.property(fc.array(reportArbitrary, { maxLength: 40 }), (steps) => {
      const reader = create(1);
      const follower = create(2);
      const ids = [0, 1, 2, 3].map((n) => asId<EngineId>(`e${n}`));
      reader.assignEngines(new Map(ids.map((id) => [id, { isFirst: true }])));
      let nowMs = 0;
      let hasGap = true;
      steps.forEach(({ engine, running, queued, version, isLost }) => {
        nowMs += 1_000;
        reader.onReport(ids[engine] as EngineId, createReport(running, queued, version), nowMs);
        const section = reader.takeChanges(nowMs);
        if (section === undefined) return;
        if (isLost) {
          hasGap = true;
          return;
        }
        const { incompleteReaders } = follower.onSections([section], nowMs);
        expect(incompleteReaders).toEqual(hasGap ? [1] : []);
        follower.onFullDigest(reader.fullDigest([1], nowMs), nowMs);
        hasGap = false;
        expect(follower.incompleteReaders()).toEqual([]);
        expect(view(follower, nowMs)).toEqual(sent(reader, nowMs));
      });
    });
    fc.assert(property, { seed: 41, numRuns: 200 });
  });

  // Guards against a dead engine that its reader's silence makes look alive.
  it('let the age of an unreadable engine grow while its reader confirms the others', () => {
    const reader = create(1);
    const follower = create(2);
    const [up, down] = [asId<EngineId>('up'), asId<EngineId>('down')];
    reader.assignEngines(
      new Map([
        [up, { isFirst: true }],
        [down, { isFirst: true }],
      ]),
    );
    reader.onReport(down, createReport(3), 0);
    for (let nowMs = 0; nowMs <= 20_000; nowMs += 1_000) {
      reader.onReport(up, createReport(5), nowMs);
      const section = reader.takeChanges(nowMs);
      if (section !== undefined) follower.onSections([section], nowMs);
    }
    const loads = follower.loads(20_000);
    expect(loads.get(up)?.reportAgeMs).toBeLessThanOrEqual(2_000);
    expect(loads.get(down)?.reportAgeMs).toBe(20_000);
  });

  // Guards against engines that nobody tells of after the loss of their first reader.
  it('come from the second reader when the first one is silent or wrong, and only then', () => {
    const [first, second] = [create(1), create(2)];
    const engine = asId<EngineId>('e');
    first.assignEngines(new Map([[engine, { isFirst: true }]]));
    second.assignEngines(new Map([[engine, { isFirst: false }]]));
    const sentBySecond: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 1_000) {
      const report = createReport(nowMs < 30_000 ? 4 : 40);
      second.onReport(engine, report, nowMs);
      if (nowMs < 30_000) {
        first.onReport(engine, report, nowMs);
        const section = first.takeChanges(nowMs);
        if (section !== undefined) second.onSections([section], nowMs);
      }
      if (second.takeChanges(nowMs) !== undefined) sentBySecond.push(nowMs);
    }
    expect(sentBySecond[0]).toBeGreaterThanOrEqual(30_000);
    expect(sentBySecond[0]).toBeLessThanOrEqual(32_000);
  });

  // Guards against a layout that grows beyond its share of the network budget.
  it('take 12 bytes an engine and keep loads within a tenth', () => {
    const reports = [0, 1, 7, 30, 64, 500].map((running) => createReport(running, running * 3));
    const entries = reports.map((report, slot) => quantiseLoad(report, slot, 7));
    const packed = packLoadEntries(entries);
    expect(packed.byteLength).toBe(reports.length * 12);
    expect(LOAD_ENTRY_BYTES).toBe(12);
    expect(unpackLoadEntries(packed)).toEqual(entries);
    entries.forEach((entry, index) => {
      const report = reports[index] as EngineReport;
      const seen = toEngineReport(entry, report.loaded, 0);
      expect(Math.abs(seen.running - report.running)).toBeLessThanOrEqual(report.running / 10);
      expect(Math.abs(seen.queued - report.queued)).toBeLessThanOrEqual(report.queued / 10);
    });
  });

  // Guards against routers that no message reaches, and against engines without a reader.
  it('reach every router of the region over a tree of fan-out 3', () => {
    const members = createMembers(113);
    const places = members.map(({ routerId }) => findTreePosition(routerId, members, hash32));
    const reached = places.flatMap(({ children }) => children.map(({ routerId }) => routerId));
    expect(new Set(reached).size).toBe(112);
    expect(reached.length).toBe(112);
    expect(Math.max(...places.map(({ children }) => children.length))).toBe(3);
    // 1 + 3 + 9 + 27 routers fill four levels; the other 73 are on the fifth.
    expect(Math.max(...places.map(({ depth }) => depth))).toBe(4);
    for (let n = 0; n < 200; n += 1) {
      const readers = findLoadReaders(asId(`e${n}`), members, hash32);
      expect(readers.length).toBe(2);
      expect(readers[0]?.failureDomain).not.toBe(readers[1]?.failureDomain);
    }
  });
});

function view(digests: DigestTable, nowMs: number): string[] {
  return [...digests.loads(nowMs).entries()]
    .map(([id, load]) => `${id} ${load.running} ${load.queued} ${load.loaded[0]?.version}`)
    .sort();
}

/** What the reader has told others, which may differ from its readings by less than the noise. */
function sent(reader: DigestTable, nowMs: number): string[] {
  const copy = create(3);
  copy.onFullDigest(reader.fullDigest([1], nowMs), nowMs);
  return view(copy, nowMs);
}
