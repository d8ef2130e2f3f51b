// The server of a new version dies; the roll-out to it is completed all the same, and the old servers are stopped.
import { fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import { guildConfig, runCase, send } from '../standin-3/deployment.mjs';

const DEADLINE_S = 10;
/** The new server lives so long after the order. */
const DEATH_AFTER_MS = 500;
/** One new server beside them is a sixth of the service. */
const FORMER_SERVERS = 5;
const BEFORE_MS = 2_000;
const DAY_MS = 92_000;
const BOOKING_BUDGET_MS = 2_500;
const STREAM_BUDGET_MS = 25_000;
const ROUND_MS = 250;
const PATHS = {
  'rib-joint': '/rib/x',
  'frame-repair': '/frame/x',
  'slot-booking': '/book/x',
  'stock-check': '/stock/x',
};
const STREAMS = new Set(['rib-joint', 'frame-repair']);

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async (deployment, hasTrouble) => {
    const { record, setConfig, startServer, startRouter, store } = deployment;
    setConfig(guildConfig());
    const shop = { service: 'guild-shop', kind: 'call', workMs: 30 };
    const guide = { service: 'bench-guide', kind: 'stream', unframed: false };
    const pace = { eventCount: 10, eventGapMs: 20, prefillMs: 50 };
    const former = [];
    for (let no = 1; no <= FORMER_SERVERS; no += 1) {
      const zone = `zone-${1 + (no % 3)}`;
      former.push(await startServer({ ...shop, id: `old-${no}`, version: 'v1', zone }));
    }
    for (const no of [1, 2, 3]) {
      await startServer({ ...guide, ...pace, id: `guide-${no}`, zone: `zone-${no}` });
    }
    const routers = [];
    for (const no of [1, 2, 3]) routers.push(await startRouter(`front-${no}`, `zone-${no}`));
    await delay(2_500);

    const tally = new Map(Object.keys(PATHS).map((kind) => [kind, { served: 0, all: 0 }]));
    let sentCount = 0;
    let lastServedAt = 0;
    const startedAtMs = Date.now();
    async function ask(router, kind) {
      sentCount += 1;
      const requestId = `${kind}-${sentCount}`;
      const isStream = STREAMS.has(kind);
      const counts = tally.get(kind);
      counts.all += 1;
      const { status, isComplete } = await send(router.port, {
        requestId,
        path: PATHS[kind],
        method: kind === 'stock-check' ? 'GET' : 'POST',
        budgetMs: isStream ? STREAM_BUDGET_MS : BOOKING_BUDGET_MS,
        headers: isStream ? { 'x-model': 'm', 'x-token-count': '500,10' } : {},
      });
      record(`client: ${requestId} at ${router.hostId}: status ${status}`);
      if (status !== 200 || !isComplete) return;
      counts.served += 1;
      if (kind === 'slot-booking') lastServedAt = Date.now() - startedAtMs;
    }

    let isOver = false;
    /** The platform's side of a roll-out. */
    async function watchStatus() {
      let state;
      while (!isOver) {
        const next = store.get('status', 'rollout/guild-shop')?.state;
        if (next !== state) {
          state = next;
          record(`status/rollout/guild-shop says ${state}`);
          if (state === 'completed') await Promise.all(former.map((server) => server.kill()));
        }
        await delay(20);
      }
    }

    async function rollOut() {
      await delay(BEFORE_MS);
      const fresh = await startServer({ ...shop, id: 'new-1', version: 'v2', zone: 'zone-1' });
      const order = { service: 'guild-shop', to: 'v2', deadline_s: DEADLINE_S };
      store.put('op', 'rollout/guild-shop', order);
      record('the operator orders guild-shop to be moved to v2');
      await delay(DEATH_AFTER_MS);
      if (hasTrouble) await fresh.kill();
    }

    const platform = watchStatus();
    const rolling = rollOut();
    const answers = [];
    while (Date.now() < startedAtMs + DAY_MS) {
      const router = routers[answers.length % routers.length];
      for (const kind of tally.keys()) answers.push(ask(router, kind));
      await delay(ROUND_MS);
    }
    isOver = true;
    await Promise.all([...answers, platform, rolling]);
    const ratioOf = (list) =>
      list.reduce((sum, { served }) => sum + served, 0) /
      list.reduce((sum, { all }) => sum + all, 0);
    const allRatio = ratioOf([...tally.values()]);
    record(`the last booking is served ${lastServedAt} ms after the first request`);
    return [...tally].flatMap(([kind, counts]) => {
      const text = `${kind}: ${counts.served} of ${counts.all} served; of all ${(100 * allRatio).toFixed(0)} %`;
      record(text);
      return ratioOf([counts]) < allRatio / 4 ? [text] : [];
    });
  },
);
