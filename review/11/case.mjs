// A server spoils one answer, and the router's process ends; all requests that it has passed on are lost.
import { Agent } from 'node:http';
import { fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import { guildConfig, runCase, send } from '../standin-3/deployment.mjs';

const EVENTS = 60;
/** Of three bytes each. */
const SPOILT_CHUNKS = 4_000_000;
const STREAM_BUDGET_MS = 25_000;
const BUDGET_MS = 2_500;
/** Twice that of the sheet, within the clients' time budget, so that a slower machine shows the same. */
const BOOKING_TIMEOUT_MS = 2_400;
const BOOKING_PERIOD_MS = 50;
const STREAM_PERIOD_MS = 400;
const SPOIL_AFTER_MS = 5_000;
const DAY_MS = 12_000;
/** More are too many, by the rule. */
const LOST_MAX = 3;

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async (deployment, hasTrouble) => {
    const { record, setConfig, startServer, startRouter, events } = deployment;
    const config = guildConfig();
    const routes = config.routes.map((route) =>
      route.name === 'slot-booking' ? { ...route, timeout_ms: BOOKING_TIMEOUT_MS } : route,
    );
    setConfig({ ...config, routes });
    const shops = [];
    for (const no of [1, 2, 3]) {
      const zone = `zone-${no}`;
      const shop = { service: 'guild-shop', kind: 'call', workMs: 30, zone };
      shops.push(await startServer({ ...shop, spoiltChunks: SPOILT_CHUNKS, id: `shop-${no}` }));
      const pace = { eventCount: EVENTS, eventGapMs: 60, prefillMs: 150 };
      const guide = { service: 'bench-guide', kind: 'stream', unframed: false, ...pace, zone };
      await startServer({ ...guide, id: `guide-${no}` });
    }
    const router = await startRouter('front-1', 'zone-1');
    await delay(2_500);

    const kept = new Agent({ keepAlive: true });
    const answers = [];
    const pending = [];
    async function ask(kind, no) {
      const isStream = kind === 'stream';
      const requestId = `${kind}-${no}`;
      const { status, isComplete } = await send(router.port, {
        requestId,
        path: isStream ? '/rib/x' : '/book/x',
        budgetMs: isStream ? STREAM_BUDGET_MS : BUDGET_MS,
        headers: isStream ? { 'x-model': 'm', 'x-token-count': `500,${EVENTS}` } : {},
        agent: kept,
      });
      answers.push({ requestId, isAnswered: status !== 0 && isComplete });
      const end = isComplete ? 'whole' : 'the channel is closed';
      record(`client: ${requestId}: status ${status}, ${end}`);
    }
    const startedAtMs = Date.now();
    const elapsedMs = () => Date.now() - startedAtMs;
    let hasSpoilt = false;
    let streamCount = 0;
    for (let no = 1; elapsedMs() < DAY_MS && router.isRunning(); no += 1) {
      if (hasTrouble && !hasSpoilt && elapsedMs() >= SPOIL_AFTER_MS) {
        hasSpoilt = true;
        shops[0].signal('SIGUSR1');
        record('shop-1 will spoil its next answer');
      }
      if (elapsedMs() >= streamCount * STREAM_PERIOD_MS) {
        streamCount += 1;
        pending.push(ask('stream', streamCount));
      }
      pending.push(ask('booking', no));
      await delay(BOOKING_PERIOD_MS);
    }
    const isUp = router.isRunning();
    record(`the router ${isUp ? 'still runs' : 'has ended by itself'}`);
    await Promise.all(pending);
    kept.destroy();
    const spoilt = events.find(({ what }) => what === 'spoils')?.request;
    const lost = answers.filter(
      ({ requestId, isAnswered }) =>
        !isAnswered &&
        requestId !== spoilt &&
        events.some(({ what, request }) => what === 'run' && request === requestId),
    );
    const text =
      `${lost.length} requests from kept channels were passed on to sound servers, and their ` +
      `channels were closed without an answer`;
    record(text);
    return lost.length > LOST_MAX
      ? [isUp ? text : `the router's process ended by itself; ${text}`]
      : [];
  },
);
