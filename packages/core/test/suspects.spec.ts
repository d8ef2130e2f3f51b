import { describe, expect, it } from 'vitest';
import {
  asId,
  createResumeQueue,
  createSuspectTracker,
  SUSPECT_TRACKER_DEFAULTS,
} from '../src/index';
import type { EngineId, Fingerprint, RequestId, SuspectTracker } from '../src/index';

const fingerprint = (text: string): Fingerprint => asId<Fingerprint>(text);
const request = (text: string): RequestId => asId<RequestId>(text);

/** Good enough to spread ids; the routers use a library's hash. */
function hash(text: string): number {
  return [...text].reduce((sum, char) => (sum * 31 + char.charCodeAt(0)) % 4_294_967_296, 7);
}

function createRouter(name: string, maxSuspects = 1_024): SuspectTracker {
  return createSuspectTracker({
    ...SUSPECT_TRACKER_DEFAULTS,
    routerId: asId(name),
    hash,
    maxSuspects,
  });
}

function die(
  suspects: SuspectTracker,
  engine: string,
  domain: string,
  atMs: number,
  ids: string,
): void {
  const running = ids.split(' ').map((id) => ({ fingerprint: fingerprint(id), index: 10 }));
  suspects.onDeath({ engineId: asId(engine), failureDomain: asId(domain), atMs, running }, atMs);
}

function exchange(from: SuspectTracker, to: SuspectTracker, nowMs: number): void {
  from.takeItems().forEach((item) => to.onItem(item, nowMs));
}

describe('suspects', () => {
  // Guards against a resend of a suspect that occupies, and kills, another engine.
  it('let one router at a time run a suspect, and the others wait for the verdict', () => {
    const first = createRouter('r1');
    const second = createRouter('r2');
    die(first, 'e1', 'marka', 0, 'culprit innocent');
    exchange(first, second, 1);
    const admit = (suspects: SuspectTracker, id: string, rank: number, nowMs: number): string =>
      suspects.admit(fingerprint('culprit'), request(id), rank, nowMs).kind;
    expect(admit(second, 'q2', 0, 60)).toBe('wait');
    expect(admit(first, 'q1', 1, 60)).toBe('run');
    exchange(first, second, 61);
    expect(admit(second, 'q2', 0, 2_000)).toBe('wait');
    expect(admit(first, 'q3', 1, 2_000)).toBe('wait');
    first.onProgress(fingerprint('culprit'), 42, 2_100);
    exchange(first, second, 2_101);
    expect(admit(second, 'q2', 0, 2_102)).toBe('run');
  });

  // Guards against condemning on one router's view, and against forgetting or never forgiving.
  it('condemn on every router what elimination leaves, for ten minutes', () => {
    const first = createRouter('r1');
    const second = createRouter('r2');
    die(first, 'e1', 'marka', 0, 'culprit a');
    die(first, 'e2', 'sweileh', 300, 'culprit b');
    expect(first.statusOf(fingerprint('culprit'), 400)).toBe('held');
    first.onProgress(fingerprint('a'), 42, 1_400);
    expect(first.statusOf(fingerprint('culprit'), 1_500)).toBe('condemned');
    exchange(first, second, 1_501);
    const admit = (nowMs: number): string =>
      second.admit(fingerprint('culprit'), request('q9'), 0, nowMs).kind;
    expect(admit(1_502)).toBe('condemned');
    expect(admit(1_500 + 600_000 + 1)).toBe('run');
    expect(first.statusOf(fingerprint('b'), 1_600)).toBe('clear');
  });

  // Guards against condemning an innocent that met two culprits before either was found.
  it('free a stream whose deaths are explained by two culprits', () => {
    const suspects = createRouter('r1');
    die(suspects, 'e1', 'marka', 0, 'c innocent');
    die(suspects, 'e2', 'sweileh', 200, 'c x');
    die(suspects, 'e3', 'jabal-weibdeh', 250, 'd innocent');
    die(suspects, 'e4', 'marka', 2_500, 'd y');
    expect(suspects.statusOf(fingerprint('innocent'), 2_600)).toBe('held');
    suspects.onProgress(fingerprint('x'), 42, 2_700);
    suspects.onProgress(fingerprint('y'), 42, 3_200);
    const standings = ['c', 'd', 'innocent'].map((id) => suspects.statusOf(fingerprint(id), 3_600));
    expect(standings).toEqual(['condemned', 'condemned', 'clear']);
  });

  // Guards against blaming streams for the loss of a rack, and against a culprit hiding in one.
  it('blame nobody for engines of a domain lost together, unless a request was on both', () => {
    const suspects = createRouter('r1');
    die(suspects, 'e1', 'marka', 0, 'a b');
    die(suspects, 'e2', 'marka', 1_500, 'x y');
    expect(suspects.statusOf(fingerprint('a'), 1_600)).toBe('clear');
    die(suspects, 'e3', 'sweileh', 1_700, 'a z');
    expect(suspects.statusOf(fingerprint('a'), 1_800)).toBe('held');
  });

  // Guards against two suspects on one engine while there are engines for each.
  it('are given disjoint engines outside the failing domain', () => {
    const suspects = createRouter('r1');
    const names = ['a', 'b', 'c', 'd'];
    die(suspects, 'e1', 'marka', 0, names.join(' '));
    const engines = Array.from({ length: 12 }, (_, index) => ({
      engineId: asId<EngineId>(`e${index + 2}`),
      failureDomain: asId<never>(['marka', 'sweileh', 'gmunden'][index % 3] ?? ''),
    }));
    const parts = names.map((name) => {
      const avoided = suspects.enginesToAvoid(fingerprint(name), engines, 60);
      return engines.filter(({ engineId }) => !avoided.has(engineId));
    });
    const given = parts.flat();
    expect(parts.every((part) => part.length > 0)).toBe(true);
    expect(new Set(given).size).toBe(given.length);
    expect(given.some(({ failureDomain }) => failureDomain === 'marka')).toBe(false);
  });

  // Guards against memory that grows with every death.
  it('keep their tables bounded', () => {
    const suspects = createRouter('r1', 64);
    for (let count = 0; count < 1_000; count += 1) {
      die(suspects, `e${count}`, 'marka', count * 10_000, `f${count} g${count}`);
    }
    expect(suspects.sizes().suspects).toBeLessThanOrEqual(128);
    expect(suspects.sizes().deaths).toBeLessThanOrEqual(256);
  });
});

describe('resume queue', () => {
  // Guards against survivors overrun by the streams of a lost domain, and against streams that
  // wait longer than 3 s for it.
  it('starts the longest waiting first, within its bounds and within 3 s', () => {
    const queue = createResumeQueue({ maxPerRouter: 4, maxPerEngine: 2, maxWaitMs: 2_500 });
    const startedAtMs = new Map<string, number>();
    const order: string[] = [];
    for (let index = 0; index < 40; index += 1) queue.add(request(`q${index}`), index);
    const running: { id: RequestId; endsAtMs: number }[] = [];
    expect(queue.takeReady(40)).toEqual(['q0', 'q1', 'q2', 'q3'].map(request));
    ['q0', 'q1', 'q2', 'q3'].forEach((id) => running.push({ id: request(id), endsAtMs: 190 }));
    for (let nowMs = 41; nowMs < 4_000; nowMs += 1) {
      running
        .splice(0)
        .forEach((entry) =>
          entry.endsAtMs <= nowMs ? queue.onEnded(entry.id, nowMs) : running.push(entry),
        );
      queue.takeReady(nowMs).forEach((id) => {
        startedAtMs.set(id, nowMs);
        order.push(id);
        running.push({ id, endsAtMs: nowMs + 150 });
      });
      expect(running.length).toBeLessThanOrEqual(8);
    }
    expect(order).toEqual(Array.from({ length: 36 }, (_, index) => `q${index + 4}`));
    expect(Math.max(...startedAtMs.values())).toBeLessThan(3_000);
  });

  // Guards against an engine that prefills the prompts of a whole domain at once.
  it('reports engines with as many resumes as they may have', () => {
    const queue = createResumeQueue({ maxPerRouter: 8, maxPerEngine: 2, maxWaitMs: 2_500 });
    ['q1', 'q2', 'q3'].forEach((id) => queue.add(request(id), 0));
    queue.takeReady(0).forEach((id, index) => {
      queue.onStarted(id, asId(index < 2 ? 'e1' : 'e2'), 0);
    });
    expect([...queue.fullEngines(1)]).toEqual(['e1']);
    queue.onEnded(request('q1'), 150);
    expect([...queue.fullEngines(151)]).toEqual([]);
  });
});
