import { describe, expect, it } from 'vitest';
import { asId, UNKNOWN_ERA } from '@mimosamill/core';
import { createRouterRegistry } from '../../src/forward/router-registry';
import { createManualClock } from './clock';
import type { DecisionLog } from '@mimosamill/adapters';
import type { FailureDomain, HostId, StoreRevision } from '@mimosamill/core';
import type { ListedRouter, RouterTable } from '../../src/forward/router-registry';

const LOG: DecisionLog = {
  routine: () => undefined,
  notable: () => undefined,
  vital: () => undefined,
  droppedCount: () => 0,
};

const EAST = asId<FailureDomain>('east');

const at = (revision: number): StoreRevision => ({ era: UNKNOWN_ERA, revision });

function createTable(): { table: RouterTable; rows: Map<string, ListedRouter> } {
  const rows = new Map<string, ListedRouter>();
  return {
    rows,
    table: {
      register: (self) => {
        rows.set(self.hostId, { ...self, at: at(rows.size + 1) });
        return Promise.resolve(true);
      },
      list: () => Promise.resolve({ routers: [...rows.values()], storeNowMs: 70 }),
      remove: ({ hostId }) => {
        rows.delete(hostId);
        return Promise.resolve();
      },
    },
  };
}

function start(name: string, table: RouterTable) {
  const clock = createManualClock();
  const started: number[] = [];
  const storeClocks: number[] = [];
  const self = { hostId: asId<HostId>(name), peerAddress: `${name}:1`, failureDomain: EAST };
  const hosts = createRouterRegistry(table, clock, () => 0.5, LOG, self, {
    onStarted: () => started.push(clock.monotonicMs()),
    onStoreClock: (_sentAtMs, storeNowMs) => storeClocks.push(storeNowMs),
  });
  const startedAtMs = clock.monotonicMs();
  hosts.start();
  return { clock, hosts, storeClocks, startDelaysMs: () => started.map((ms) => ms - startedAtMs) };
}

async function settle(): Promise<void> {
  for (let no = 0; no < 10; no += 1) await Promise.resolve();
}

describe('the router registry', () => {
  it('lists the other routers as soon as a router has registered, without waiting for a timer', async () => {
    const { table } = createTable();
    const first = start('a', table);
    await settle();
    const second = start('b', table);
    await settle();
    expect(second.hosts.addresses()).toEqual(['a:1']);
    // The first router read the list before the second registered, so it learns of it by a message.
    expect(first.hosts.addresses()).toEqual([]);
    first.hosts.onMessageFrom('b:1');
    expect(first.hosts.addresses()).toEqual(['b:1']);
  });

  it('removes a router that has sent no message since it was listed', async () => {
    const { table, rows } = createTable();
    rows.set('gone', {
      hostId: asId('gone'),
      peerAddress: 'gone:1',
      failureDomain: EAST,
      at: at(1),
    });
    const { clock } = start('a', table);
    await settle();
    for (let no = 0; no < 3; no += 1) {
      clock.advance(65_000);
      await settle();
    }
    expect([...rows.keys()]).toEqual(['a']);
  });

  it('reports the start, and the clock of the store, once it has read the list', async () => {
    const { table } = createTable();
    const { clock, storeClocks, startDelaysMs } = start('a', table);
    await settle();
    clock.advance(1_000);
    expect(startDelaysMs()).toEqual([0]);
    expect(storeClocks).toEqual([70]);
  });

  it('reports the start after a short time without the store, so that the router can serve', async () => {
    // Guards against a router that waits for a store which refuses it, although others could relay.
    const { table } = createTable();
    const away = { ...table, register: () => new Promise<boolean>(() => undefined) };
    const { clock, startDelaysMs } = start('a', away);
    await settle();
    clock.advance(1_000);
    expect(startDelaysMs()).toEqual([300]);
  });

  it('registers again at once, not a minute later, when the store came back without its row', async () => {
    const { table, rows } = createTable();
    const { clock, hosts } = start('a', table);
    await settle();
    rows.clear();
    hosts.onStoreRestored();
    clock.advance(600);
    await settle();
    expect([...rows.keys()]).toEqual(['a']);
  });
});
