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

/** Simple stand-in for the 32-bit hash that the routers use. */
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

function reportDeath(
  suspects: SuspectTracker,
  engine: string,
  domain: string,
  atMs: number,
  ids: string,
): void {
  const running = ids.split(' ').map((id) => ({ fingerprint: fingerprint(id), index: 10 }));
  suspects.onDeath({ engineId: asId(engine), failureDomain: asId(domain), atMs, running }, atMs);
}

function sendItems(sender: SuspectTracker, receiver: SuspectTracker, nowMs: number): void {
  sender.takeItems().forEach((item) => receiver.onItem(item, nowMs));
}

describe('suspects', () => {
  // Guards against copies of a suspect that run, and may crash engines, on several routers at once.
  it('let one router at a time run a suspect while the others wait for the outcome', () => {
    const first = createRouter('r1');
    const second = createRouter('r2');
    reportDeath(first, 'e1', 'marka', 0, 'culprit innocent');
    sendItems(first, second, 1);
    const admit = (suspects: SuspectTracker, id: string, rank: number, nowMs: number): string =>
      suspects.admit(fingerprint('culprit'), request(id), rank, nowMs).kind;
    expect(admit(second, 'q2', 0, 60)).toBe('wait');
    expect(admit(first, 'q1', 1, 60)).toBe('run');
    sendItems(first, second, 61);
    expect(admit(second, 'q2', 0, 2_000)).toBe('wait');
    expect(admit(first, 'q3', 1, 2_000)).toBe('wait');
    first.onProgress(fingerprint('culprit'), 42, 2_100);
    sendItems(first, second, 2_101);
    expect(admit(second, 'q2', 0, 2_102)).toBe('run');
  });

  // Guards against a verdict that other routers do not learn of, that is lost early, or that never
  // expires.
  it('condemn the only candidate left, on every router and for ten minutes', () => {
    const first = createRouter('r1');
    const second = createRouter('r2');
    reportDeath(first, 'e1', 'marka', 0, 'culprit a');
    reportDeath(first, 'e2', 'sweileh', 300, 'culprit b');
    expect(first.statusOf(fingerprint('culprit'), 400)).toBe('held');
    first.onProgress(fingerprint('a'), 42, 1_400);
    expect(first.statusOf(fingerprint('culprit'), 1_500)).toBe('condemned');
    sendItems(first, second, 1_501);
    const admit = (nowMs: number): string =>
      second.admit(fingerprint('culprit'), request('q9'), 0, nowMs).kind;
    expect(admit(1_502)).toBe('condemned');
    expect(admit(1_500 + 600_000 + 1)).toBe('run');
    expect(first.statusOf(fingerprint('b'), 1_600)).toBe('clear');
  });

  // Guards against condemning an innocent request that shared engines with two culprits.
  it('clear a request whose engine deaths are explained by two culprits', () => {
    const suspects = createRouter('r1');
    reportDeath(suspects, 'e1', 'marka', 0, 'c innocent');
    reportDeath(suspects, 'e2', 'sweileh', 200, 'c x');
    reportDeath(suspects, 'e3', 'jabal-weibdeh', 250, 'd innocent');
    reportDeath(suspects, 'e4', 'marka', 2_500, 'd y');
    expect(suspects.statusOf(fingerprint('innocent'), 2_600)).toBe('held');
    suspects.onProgress(fingerprint('x'), 42, 2_700);
    suspects.onProgress(fingerprint('y'), 42, 3_200);
    const standings = ['c', 'd', 'innocent'].map((id) => suspects.statusOf(fingerprint(id), 3_600));
    expect(standings).toEqual(['condemned', 'condemned', 'clear']);
  });

  // Guards against holding requests responsible for the loss of a rack, and against overlooking a
  // culprit whose engine seems to be part of such a loss.
  it('exclude requests on engines of a domain lost together, unless they saw another death', () => {
    const suspects = createRouter('r1');
    reportDeath(suspects, 'e1', 'marka', 0, 'a b');
    reportDeath(suspects, 'e2', 'marka', 1_500, 'x y');
    expect(suspects.statusOf(fingerprint('a'), 1_600)).toBe('clear');
    reportDeath(suspects, 'e3', 'sweileh', 1_700, 'a z');
    expect(suspects.statusOf(fingerprint('a'), 1_800)).toBe('held');
  });

  // Guards against two suspects on one engine while there are engines for each.
  it('are assigned disjoint engines outside the failing domain', () => {
    const suspects = createRouter('r1');
    const names = ['a', 'b', 'c', 'd'];
    reportDeath(suspects, 'e1', 'marka', 0, names.join(' '));
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

  // Guards against memory that grows with every engine death.
  it('keep their tables within their limits', () => {
    const suspects = createRouter('r1', 64);
    for (let count = 0; count < 1_000; count += 1) {
      reportDeath(suspects, `e${count}`, 'marka', count * 10_000, `f${count} g${count}`);
    }
    expect(suspects.sizes().suspects).toBeLessThanOrEqual(128);
    expect(suspects.sizes().deaths).toBeLessThanOrEqual(256);
  });
});

describe('resume queue', () => {
  // Guards against engines overloaded by resumed streams after the loss of a domain, and against
  // streams that wait longer than 3 s for their resume.
  it('starts the streams that waited longest first, within its limits and within 3 s', () => {
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

  // Guards against an engine that has to prefill the prompts of a whole lost domain at once.
  it('reports engines that have reached their limit of resumes', () => {
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
