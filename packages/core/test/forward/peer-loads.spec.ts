import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { asId, createPeerRegistry } from '../../src/index';
import { id } from './fixtures';
import type { PeerLoad, PeerUpdate, RouterLoad } from '../../src/index';

const TIMEOUT_MS = 3_000;
const SERVERS = ['a1', 'b1', 'c1', 'd1'];
const HOSTS = ['host-1', 'host-2', 'host-3', 'host-4', 'host-5'];

const amount = fc.nat({ max: 4_000 });
const load = fc
  .tuple(fc.constantFrom(...SERVERS), amount, amount, amount, amount)
  .map(([name, running, prefillMs, copies, tokens]): RouterLoad => {
    return { serverId: id(name), running, prefillMs, copies, tokens };
  });
const step = fc.record({
  hostId: fc.constantFrom(...HOSTS),
  incarnationId: fc.constantFrom('x', 'y'),
  sequence: fc.nat({ max: 30 }),
  loads: fc.array(load, { maxLength: 6 }),
  waitMs: fc.nat({ max: 1_500 }),
  asksForRouters: fc.boolean(),
});

/** The last update of each router; a sum over all of them is what the registry must return. */
interface KnownUpdate {
  readonly incarnationId: string;
  readonly sequence: number;
  readonly atMs: number;
  readonly loads: ReadonlyMap<string, RouterLoad>;
}

function sumOverAll(
  updates: ReadonlyMap<string, KnownUpdate>,
  serverId: string,
  nowMs: number,
): PeerLoad {
  const sum = { running: 0, prefillMs: 0, copies: 0, tokens: 0 };
  updates.forEach(({ atMs, loads }) => {
    const own = loads.get(serverId);
    if (own === undefined || nowMs - atMs > TIMEOUT_MS) return;
    sum.running += own.running;
    sum.prefillMs += Math.max(0, own.prefillMs - (nowMs - atMs));
    sum.copies += own.copies;
    sum.tokens += own.tokens;
  });
  return sum;
}

describe('the load of the other routers at a server', () => {
  it('equals the sum over all routers after any updates, restarts and silences', () => {
    // Guards against load that stays counted, or is lost, when an update replaces an earlier one, a
    // router restarts or falls silent, or an old datagram arrives late.
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const registry = createPeerRegistry();
        const updates = new Map<string, KnownUpdate>();
        let nowMs = 0;
        steps.forEach(({ hostId, incarnationId, sequence, loads, waitMs, asksForRouters }) => {
          const update: PeerUpdate = {
            hostId: asId(hostId),
            failureDomain: asId('a'),
            incarnationId,
            sequence,
            canReadStore: true,
            loads,
            failures: [],
            moves: [],
            callCounts: [],
          };
          const isApplied = registry.onUpdate(update, '10.0.0.9:1', nowMs) !== undefined;
          const known = updates.get(hostId);
          const isOld = known?.incarnationId === incarnationId && sequence <= known.sequence;
          expect(isApplied).toBe(!isOld);
          if (isApplied) {
            const byServer = new Map(loads.map((own) => [own.serverId, own]));
            updates.set(hostId, { incarnationId, sequence, atMs: nowMs, loads: byServer });
          }
          nowMs += waitMs;
          if (asksForRouters) {
            registry.routers(nowMs);
            updates.forEach(({ atMs }, host) => {
              if (nowMs - atMs > TIMEOUT_MS) updates.delete(host);
            });
          }
          SERVERS.forEach((name) => {
            const expected = sumOverAll(updates, name, nowMs);
            expect(registry.loadAt(id(name), nowMs)).toEqual(expected);
            // Asked again at the same time, as a placement does.
            expect(registry.loadAt(id(name), nowMs)).toEqual(expected);
          });
        });
      }),
    );
  });
});
