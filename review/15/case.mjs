// A crowd sends bodies in one-byte chunks; the router answers none of its ordinary callers meanwhile.
import { Agent } from 'node:http';
import { fileURLToPath } from 'node:url';
import { setTimeout as delay } from 'node:timers/promises';
import { guildConfig, runCase, send } from '../standin-3/deployment.mjs';

const CLIENTS = 150;
/** A body of 20 kB, of 4 MB that the manifest allows. */
const CHUNKS = 20_000;
const BUDGET_MS = 2_500;
/** `timeout_ms` of the route, and the half second after it that the rule leaves. */
const TIMEOUT_MS = 1_200;
const LATE_MS = TIMEOUT_MS + 500;
const GONE_AFTER_MS = 500;
/** "More than a few". */
const GONE_MAX = 10;
const PERIOD_MS = 100;
const CALM_MS = 3_000;
const DAY_MS = 30_000;
/** Fewer could be an accident. */
const JUDGED_MIN = 20;

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async (deployment, hasTrouble) => {
    const { record, setConfig, startServer, startRouter, startCrowd, events } = deployment;
    setConfig(guildConfig());
    for (const no of [1, 2, 3]) {
      const server = { service: 'guild-shop', kind: 'call', workMs: 30, zone: `zone-${no}` };
      await startServer({ ...server, id: `shop-${no}` });
    }
    const router = await startRouter('front-1', 'zone-1');
    await delay(2_500);

    const kept = new Agent({ keepAlive: true, maxSockets: 8 });
    const answers = [];
    const pending = [];
    async function ask(no) {
      const isBooking = no % 4 < 2;
      const requestId = `${isBooking ? 'booking' : 'lookup'}-${no}`;
      const sentAtMs = Date.now();
      const path = isBooking ? '/book/x' : '/stock/x';
      const method = isBooking ? 'POST' : 'GET';
      const request = { requestId, path, method, budgetMs: BUDGET_MS };
      // Every second one on a channel that is kept.
      const channel = no % 2 === 0 ? { agent: kept } : {};
      const { status } = await send(router.port, { ...request, ...channel });
      const endedAtMs = Date.now();
      const tookMs = endedAtMs - sentAtMs;
      answers.push({ requestId, status, tookMs, endedAtMs });
      record(
        `client: ${requestId}: ${status === 0 ? 'gives up' : `status ${status}`} after ${tookMs} ms`,
      );
    }
    const startedAtMs = Date.now();
    let hasCrowd = false;
    for (let no = 1; Date.now() < startedAtMs + DAY_MS; no += 1) {
      if (hasTrouble && !hasCrowd && Date.now() >= startedAtMs + CALM_MS) {
        hasCrowd = true;
        startCrowd(router.port, CLIENTS, CHUNKS);
      }
      pending.push(ask(no));
      await delay(PERIOD_MS);
    }
    await Promise.all(pending);
    kept.destroy();
    const isAnswered = ({ status, tookMs }, withinMs) => status !== 0 && tookMs <= withinMs;
    const late = answers.filter((answer) => !isAnswered(answer, TIMEOUT_MS));
    const unanswered = late.filter((answer) => !isAnswered(answer, LATE_MS));
    const text =
      `of ${answers.length} requests, ${late.length} are unanswered after ${TIMEOUT_MS} ms, ` +
      `and ${unanswered.length} of these after ${LATE_MS} ms`;
    record(text);
    const runAtMs = new Map(
      events.filter(({ what }) => what === 'run').map(({ request, atMs }) => [request, atMs]),
    );
    const gone = answers.filter(
      ({ requestId, status, endedAtMs }) =>
        status === 0 && (runAtMs.get(requestId) ?? 0) > endedAtMs + GONE_AFTER_MS,
    );
    const goneText =
      `${gone.length} requests reach a server over ${GONE_AFTER_MS} ms after their clients ` +
      `have closed their channels`;
    record(goneText);
    record(`the router ${router.isRunning() ? 'still runs' : 'has ended'}`);
    const isHeldUp = late.length >= JUDGED_MIN && unanswered.length * 2 > late.length;
    return [...(isHeldUp ? [text] : []), ...(gone.length > GONE_MAX ? [goneText] : [])];
  },
);
