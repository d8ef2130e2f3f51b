// One part of a prompt crashes each engine that has begun to write an answer on it.
import {
  BOUNDS,
  createManifest,
  GUIDE,
  hasTrouble,
  promptHeaders,
  runCase,
  send,
  sleep,
} from '../standin-2/lib.mjs';

const ZONES = ['jabal-weibdeh', 'marka', 'sweileh'];
const ENGINES = 9;
const DEADLY_PART = 'dead0001';
const ENGINE_DOWN_MS = 1_200;
const PLAY_MS = 30_000;
const PERIOD_MS = 700;

await runCase(import.meta.url, async (deployment, record) => {
  const store = await deployment.startStore();
  store.putManifest(createManifest(7));
  const engines = [];
  const crashesAtMs = [];
  let isPlaying = true;
  for (let no = 0; no < ENGINES; no += 1) {
    const engine = await deployment.startEngine(store, {
      id: `i-7f3a91${(0xa0 + no).toString(16)}`,
      zone: ZONES[no % ZONES.length],
      service: GUIDE,
      isStreaming: true,
      pieces: 20,
      deadlyPart: hasTrouble ? DEADLY_PART : undefined,
      onExit: (crashed) => {
        if (!isPlaying) return;
        crashesAtMs.push(performance.now());
        setTimeout(async () => {
          if (!isPlaying) return;
          crashed.start();
          await crashed.waitUp();
          crashed.register();
        }, ENGINE_DOWN_MS);
      },
    });
    engines.push(engine);
  }
  const router = await deployment.startRouter('front-marka-1', 'marka', store);
  await router.waitReady();
  const answers = [];
  const sound = [];
  const deadlyIds = new Set();
  const endMs = performance.now() + PLAY_MS;
  for (let no = 0; performance.now() < endMs; no += 1) {
    const id = `deadly-${no}`;
    deadlyIds.add(id);
    const headers = promptHeaders(['5c1e07a2:200', `${DEADLY_PART}:150`]);
    answers.push(
      send(record, router, {
        id,
        path: '/frame/2f',
        body: `prompt ${no}`,
        headers,
        deadlineMs: 6_000,
      }),
    );
    sound.push(
      send(record, router, {
        path: '/frame/2f',
        body: `sound ${no}`,
        headers: promptHeaders(['5c1e07a2:200', 'beef0001:150']),
        deadlineMs: 6_000,
      }),
    );
    await sleep(PERIOD_MS);
  }
  const seen = await Promise.all(sound);
  await Promise.all(answers);
  isPlaying = false;
  const arrivals = engines
    .flatMap(({ events }) => events)
    .filter(({ kind, id }) => kind === 'arrived' && deadlyIds.has(id));
  record(
    `${crashesAtMs.length} crashes; ${arrivals.length} arrivals of ${deadlyIds.size} requests with the part`,
  );
  const whole = seen.filter(({ status, isComplete }) => status === 200 && isComplete).length;
  record(`${whole} of ${seen.length} sound streams reached their clients whole`);
  const [fifthAtMs = Infinity] = crashesAtMs.slice(4);
  const late = arrivals.filter(({ atMs }) => atMs > fifthAtMs + BOUNDS.contact_ms);
  record(`${late.length} arrivals later than contact_ms after the fifth crash`);
  return late.length > 3
    ? [
        `BUDGET: ${late.length} requests with the part reach engines later than contact_ms after the fifth crash; 3 are allowed`,
      ]
    : [];
});
