// Most streams of a new version break off; the roll-out to it is completed, and the old engines are stopped.
import { fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import { guildConfig, runCase, send } from '../standin-3/deployment.mjs';

const BUDGET_MS = 25_000;
const DEADLINE_S = 20;
const EVENTS = 40;
/** Part of the runs of the new version whose stream breaks off, and after how many events. */
const BROKEN_RATIO = 0.8;
const BREAK_AFTER_EVENTS = 5;
const PERIOD_MS = 150;
const AFTER_MS = 8_000;
/** The bounds of the sheet. */
const EXPOSURE_SHARE = 0.1;
const EXPOSURE_SLACK = 50;

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async (deployment, hasTrouble) => {
    const { record, setConfig, startServer, startRouter, store, events } = deployment;
    setConfig(guildConfig());
    const guide = {
      service: 'bench-guide',
      kind: 'stream',
      unframed: false,
      eventCount: EVENTS,
      eventGapMs: 40,
      prefillMs: 150,
      failureRatio: BROKEN_RATIO,
      breakAfterEvents: BREAK_AFTER_EVENTS,
    };
    const former = [];
    const fresh = [];
    for (const no of [1, 2, 3]) {
      const zone = `zone-${no}`;
      former.push(await startServer({ ...guide, id: `old-${no}`, version: 'v1', zone }));
    }
    const routers = [];
    for (const no of [1, 2, 3]) routers.push(await startRouter(`front-${no}`, `zone-${no}`));
    await delay(2_500);

    const answers = [];
    let isOver = false;
    async function ask(router) {
      const requestId = `stream-${answers.length + 1}`;
      const answer = { requestId, sentAtMs: Date.now(), isWhole: false };
      answers.push(answer);
      const headers = { 'x-model': 'm', 'x-token-count': `500,${EVENTS}` };
      const { status, isComplete, body } = await send(router.port, {
        requestId,
        path: '/rib/x',
        budgetMs: BUDGET_MS,
        headers,
      });
      const count = [...body.matchAll(/^id: \d+$/gmu)].length;
      answer.isWhole = status === 200 && isComplete && count === EVENTS;
      record(`client: ${requestId}: status ${status}, ${count} of ${EVENTS} events`);
    }
    const pending = [];
    async function press() {
      for (let no = 0; !isOver; no += 1) {
        pending.push(ask(routers[no % routers.length]));
        await delay(PERIOD_MS);
      }
    }
    const pressing = press();
    await delay(4_000);
    for (const no of [1, 2, 3]) {
      fresh.push(
        await startServer({ ...guide, id: `new-${no}`, version: 'v2', zone: `zone-${no}` }),
      );
    }
    if (hasTrouble) fresh.forEach((server) => server.signal('SIGUSR2'));
    store.put('op', 'rollout/bench-guide', {
      service: 'bench-guide',
      to: 'v2',
      deadline_s: DEADLINE_S,
    });
    const orderedAtMs = Date.now();
    record('the operator orders bench-guide to be moved to v2');
    let state;
    while (Date.now() < orderedAtMs + DEADLINE_S * 1_000 + AFTER_MS) {
      const next = store.get('status', 'rollout/bench-guide')?.state;
      if (next !== state) {
        state = next;
        record(`status/rollout/bench-guide says ${state}`);
        if (state === 'completed') await Promise.all(former.map((server) => server.kill()));
      }
      await delay(20);
    }
    isOver = true;
    await pressing;
    await Promise.all(pending);
    const endMs = orderedAtMs + DEADLINE_S * 1_000;
    const arrivals = events.filter(
      ({ what, atMs }) => what === 'run' && atMs >= orderedAtMs && atMs < endMs,
    );
    const exposed = arrivals.filter(({ server }) => server.startsWith('new-')).length;
    const allowed = EXPOSURE_SHARE * arrivals.length + EXPOSURE_SLACK;
    const late = answers.filter(({ sentAtMs }) => sentAtMs >= endMs);
    const whole = late.filter(({ isWhole }) => isWhole).length;
    record(
      `of the streams that were sent after the order's time, ${whole} of ${late.length} end whole`,
    );
    const text = `v2 gets ${exposed} of ${arrivals.length} requests in the order's time; ${allowed.toFixed(1)} are allowed for a bad version`;
    record(text);
    return hasTrouble && exposed > allowed ? [text] : [];
  },
);
