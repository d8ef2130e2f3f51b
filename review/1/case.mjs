// REFUSED: a stream that may not be resumed runs, its answer is lost, and the caller gets 503.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createManifest, MODEL_SERVICE, runCase, wait } from '../lib/deployment.mjs';

const TIMEOUT_MS = 6_000;
const CLIENT_MS = 25_000;
const TROUBLE_MS = 4_000;
const SENDS_PER_S = 8;

const route = {
  name: 'r-once',
  host: 'ficu95.example',
  prefix: '/lohu930/',
  kind: 'streaming',
  timeout_ms: TIMEOUT_MS,
  slo_ms: 4500,
  priority: 1,
  service: MODEL_SERVICE.name,
  max_attempts: 5,
  public: false,
  sticky: true,
  resumable: false,
  gap_target_ms: 700,
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (start, isTroubled) => {
  const { routers, startEngine, engines, engineEvents, send, note } = await start(
    createManifest([route], [MODEL_SERVICE]),
    3,
  );
  for (let no = 1; no <= 6; no += 1) {
    await startEngine({
      no,
      id: `i-${no}`,
      service: MODEL_SERVICE.name,
      slots: 128,
      prefillMs: 250,
      gapMs: 30,
      events: 40,
    });
  }
  routers.forEach((router) => router.start());
  await Promise.all(routers.map((router) => router.untilReady()));
  await wait(3_000);

  const results = [];
  let no = 0;
  /** A client as the pages tell: it comes back once after a promise, as Retry-After says. */
  async function runClient(name) {
    const router = routers[no % routers.length];
    no += 1;
    const startedAtMs = Date.now();
    const options = {
      client: name,
      path: '/lohu930/2f',
      headers: { 'x-model': 'm', 'x-token-count': '1250,80', 'x-prompt-prefix': `${name}:1250` },
      body: Buffer.from(name),
    };
    const first = await send(router, { ...options, deadlineMs: CLIENT_MS });
    results.push({ client: name, ...first });
    const retryAfterMs = Number(first.headers['retry-after'] ?? NaN) * 1000;
    const leftMs = CLIENT_MS - (Date.now() - startedAtMs);
    if (first.status !== 503 || !(retryAfterMs <= leftMs / 3)) return;
    await wait(retryAfterMs);
    const deadlineMs = CLIENT_MS - (Date.now() - startedAtMs);
    const other = routers[no % routers.length];
    const second = await send(other, { ...options, deadlineMs });
    results.push({ client: name, ...second });
  }

  const clients = [];
  const sendFor = async (ms) => {
    const untilMs = Date.now() + ms;
    while (Date.now() < untilMs) {
      clients.push(runClient(`c${(clients.length + 1).toString(16)}`));
      await wait(1000 / SENDS_PER_S);
    }
  };
  await sendFor(3_000);
  const troubled = [...engines.values()].slice(0, 3);
  if (isTroubled) {
    note('trouble: answers are lost', { engines: troubled.map(({ id }) => id), part: 0.4 });
    troubled.forEach(({ child }) => child.send({ lose: 0.4 }));
  }
  await sendFor(TROUBLE_MS);
  troubled.forEach(({ child }) => child.send({ lose: 0 }));
  await sendFor(2_000);
  await Promise.all(clients);

  const ran = new Set(engineEvents.filter(({ kind }) => kind === 'began').map(({ id }) => id));
  const broken = results.filter(
    ({ id, status }) => [408, 421, 429, 503].includes(status) && ran.has(id),
  );
  const twice = broken.filter(({ client }) => {
    const ids = results.filter((result) => result.client === client).map(({ id }) => id);
    return ids.filter((id) => ran.has(id)).length > 1;
  });
  note('count', { requests: results.length, broken: broken.length, twice: twice.length });
  return broken.map(
    ({ id, status, client }) =>
      `REFUSED: request ${id} of ${client} was answered ${status}, and an engine has run it` +
      `${twice.some((entry) => entry.client === client) ? '; the client came back, and it ran again' : ''}`,
  );
});
