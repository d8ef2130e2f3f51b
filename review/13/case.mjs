// The router that writes the end of a roll-out is frozen while the version turns bad; it then completes the roll-out.
import { fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import { guildConfig, runCase, send } from '../standin-3/deployment.mjs';

const BUDGET_MS = 2_500;
const DEADLINE_S = 20;
const REQUESTS_PER_S_AT_ROUTER = 8;
/** After the order. */
const FREEZE_AT_MS = 7_000;
const BAD_AT_MS = 7_200;
const FREEZE_MS = 2_400;
const FAILURE_RATIO = 0.6;
/** A machine is in touch again so long after its freeze. */
const CONTACT_MS = 3_000;
/** The router that the others elect to write the end of a roll-out of this service; it follows from the names. */
const LEADER = 'front-2';
/** The bounds of the sheet. */
const EXPOSURE_SHARE = 0.1;
const EXPOSURE_SLACK = 50;
/** New servers drain so long after a roll-back, and end a little later than `drain_ms`. */
const DRAIN_AFTER_MS = 3_000;
const END_AFTER_MS = 5_500;

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async (deployment, hasTrouble) => {
    const { record, setConfig, startServer, startRouter, store, events } = deployment;
    setConfig(guildConfig());
    const shop = { service: 'guild-shop', kind: 'call', workMs: 10, failureRatio: FAILURE_RATIO };
    const former = [];
    const fresh = [];
    for (const no of [1, 2, 3]) {
      former.push(
        await startServer({ ...shop, id: `old-${no}`, version: 'v1', zone: `zone-${no}` }),
      );
    }
    const routers = [];
    for (const no of [1, 2, 3]) routers.push(await startRouter(`front-${no}`, `zone-${no}`));
    await delay(2_500);

    let sentCount = 0;
    let isOver = false;
    /** Router to which each request was sent. */
    const routerOf = new Map();
    async function press(router) {
      while (!isOver) {
        sentCount += 1;
        const requestId = `booking-${sentCount}`;
        routerOf.set(requestId, router);
        void send(router.port, { requestId, path: '/book/x', budgetMs: BUDGET_MS });
        await delay(1_000 / REQUESTS_PER_S_AT_ROUTER);
      }
    }
    const pressing = routers.map(press);
    await delay(3_000);
    for (const no of [1, 2, 3]) {
      fresh.push(
        await startServer({ ...shop, id: `new-${no}`, version: 'v2', zone: `zone-${no}` }),
      );
    }
    store.put('op', 'rollout/guild-shop', {
      service: 'guild-shop',
      to: 'v2',
      deadline_s: DEADLINE_S,
    });
    const orderedAtMs = Date.now();
    record('the operator orders guild-shop to be moved to v2');
    const until = (afterMs) => delay(Math.max(0, orderedAtMs + afterMs - Date.now()));

    // The platform's side of a roll-out.
    const platform = (async () => {
      let state;
      while (!isOver) {
        const next = store.get('status', 'rollout/guild-shop')?.state;
        if (next !== state) {
          state = next;
          record(`status/rollout/guild-shop says ${state}`);
          if (state === 'completed') await Promise.all(former.map((server) => server.kill()));
          if (state === 'rolled_back') {
            void delay(DRAIN_AFTER_MS).then(() => fresh.forEach((server) => server.drain()));
            void delay(DRAIN_AFTER_MS + END_AFTER_MS).then(() =>
              fresh.forEach((server) => void server.kill()),
            );
          }
        }
        await delay(20);
      }
    })();

    const leader = routers.find(({ hostId }) => hostId === LEADER);
    await until(FREEZE_AT_MS);
    if (hasTrouble) leader.signal('SIGSTOP');
    await until(BAD_AT_MS);
    fresh.forEach((server) => server.signal('SIGUSR2'));
    await until(FREEZE_AT_MS + FREEZE_MS);
    if (hasTrouble) leader.signal('SIGCONT');
    await until(DEADLINE_S * 1_000);
    isOver = true;
    await Promise.all([...pressing, platform]);
    const arrivals = events.filter(({ what, atMs }) => what === 'run' && atMs >= orderedAtMs);
    const isInTouch = ({ request, atMs }) => {
      const afterMs = atMs - orderedAtMs;
      const isOut = afterMs >= FREEZE_AT_MS && afterMs < FREEZE_AT_MS + FREEZE_MS + CONTACT_MS;
      return !hasTrouble || routerOf.get(request) !== leader || !isOut;
    };
    const exposed = arrivals.filter(
      (run) => run.server.startsWith('new-') && isInTouch(run),
    ).length;
    const allowed = EXPOSURE_SHARE * arrivals.length + EXPOSURE_SLACK;
    const text = `v2 gets ${exposed} of ${arrivals.length} requests from machines in touch; ${allowed.toFixed(1)} are allowed`;
    record(text);
    return exposed > allowed ? [text] : [];
  },
);
