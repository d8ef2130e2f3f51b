// An engine spoils one stream, and the router answers none of its other callers for seconds.
import { fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import { guildConfig, runCase, send } from '../standin-3/deployment.mjs';

const STREAMS = 20;
const EVENTS = 40;
/** Of eight bytes each. */
const SPOILT_CHUNKS = 150_000;
const STREAM_BUDGET_MS = 25_000;
const BUDGET_MS = 2_500;
/** `timeout_ms` of the lookups, and the half second after it that the rule leaves. */
const TIMEOUT_MS = 1_200;
const LATE_MS = TIMEOUT_MS + 500;
const PERIOD_MS = 50;
const SPOIL_AFTER_MS = 5_000;
const DAY_MS = 30_000;
/** Fewer could be an accident. */
const JUDGED_MIN = 20;

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async (deployment, hasTrouble) => {
    const { record, setConfig, startServer, startRouter } = deployment;
    setConfig(guildConfig());
    const engines = [];
    for (const no of [1, 2, 3]) {
      const zone = `zone-${no}`;
      const shop = { service: 'guild-shop', kind: 'call', workMs: 30, zone };
      await startServer({ ...shop, id: `shop-${no}` });
      const pace = { eventCount: EVENTS, eventGapMs: 40, prefillMs: 150 };
      const guide = { service: 'bench-guide', kind: 'stream', unframed: false, ...pace, zone };
      engines.push(await startServer({ ...guide, spoiltChunks: SPOILT_CHUNKS, id: `guide-${no}` }));
    }
    const router = await startRouter('front-1', 'zone-1');
    await delay(2_500);

    const answers = [];
    const pending = [];
    async function lookUp(no) {
      const requestId = `lookup-${no}`;
      const sentAtMs = Date.now();
      const request = { requestId, path: '/stock/x', method: 'GET', budgetMs: BUDGET_MS };
      const { status } = await send(router.port, request);
      const tookMs = Date.now() - sentAtMs;
      answers.push({ status, tookMs });
      record(
        `client: ${requestId}: ${status === 0 ? 'gives up' : `status ${status}`} after ${tookMs} ms`,
      );
    }
    async function stream(no) {
      const requestId = `stream-${no}`;
      const headers = { 'x-model': 'm', 'x-token-count': `500,${EVENTS}` };
      const request = { requestId, path: '/rib/x', budgetMs: STREAM_BUDGET_MS, headers };
      const { status, isComplete, body } = await send(router.port, request);
      const count = [...body.matchAll(/^id: \d+$/gmu)].length;
      const end = isComplete ? 'whole' : 'broken off';
      record(`client: ${requestId}: status ${status}, ${count} of ${EVENTS} events, ${end}`);
    }
    const startedAtMs = Date.now();
    let hasSpoilt = false;
    let streamCount = 0;
    for (let no = 1; Date.now() < startedAtMs + DAY_MS; no += 1) {
      if (hasTrouble && !hasSpoilt && Date.now() >= startedAtMs + SPOIL_AFTER_MS) {
        hasSpoilt = true;
        engines[0].signal('SIGUSR1');
        record('guide-1 will spoil its next stream');
      }
      if (no % 4 === 0 && streamCount < STREAMS * 3) {
        streamCount += 1;
        pending.push(stream(streamCount));
      }
      pending.push(lookUp(no));
      await delay(PERIOD_MS);
    }
    await Promise.all(pending);
    const isAnswered = ({ status, tookMs }, withinMs) => status !== 0 && tookMs <= withinMs;
    const late = answers.filter((answer) => !isAnswered(answer, TIMEOUT_MS));
    const unanswered = late.filter((answer) => !isAnswered(answer, LATE_MS));
    const text =
      `of ${answers.length} lookups, ${late.length} are unanswered after ${TIMEOUT_MS} ms, ` +
      `and ${unanswered.length} of these after ${LATE_MS} ms`;
    record(text);
    record(`the router ${router.isRunning() ? 'still runs' : 'has ended'}`);
    const isBroken = late.length >= JUDGED_MIN && unanswered.length * 2 > late.length;
    return isBroken ? [text] : [];
  },
);
