// After a quiet minute, one part of prompts crashes engines. Sound requests share their first part.
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
const FIRST_PART = '5c1e07a2:200';
const DEADLY_PART = 'dead0001';
const ENGINE_DOWN_MS = 1_200;
const SOUND_BEFORE = 24;
const QUIET_MS = Number(process.env.QUIET ?? 61_000);
const PLAY_MS = 24_000;
const PERIOD_MS = 400;
/** The first requests after the quiet minute; afterwards every fifth one. */
const FIRST_DEADLY = 2;
const DEADLY_PERIOD = 5;

await runCase(import.meta.url, async (deployment, record) => {
  const store = await deployment.startStore();
  store.putManifest(createManifest(7));
  const engines = [];
  const crashesAtMs = [];
  let isPlaying = true;
  for (let no = 0; no < ENGINES; no += 1) {
    engines.push(
      await deployment.startEngine(store, {
        id: `i-7f3a91${(0xa0 + no).toString(16)}`,
        zone: ZONES[no % ZONES.length],
        service: GUIDE,
        isStreaming: true,
        pieces: 10,
        deadlyPart: hasTrouble ? DEADLY_PART : undefined,
        crashesBeforeFirstPiece: true,
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
      }),
    );
  }
  const router = await deployment.startRouter('front-marka-1', 'marka', store);
  await router.waitReady();

  let documentNo = 0;
  /** Prompts share the first part; each has a document of its own kind, and a last part of its own. */
  function sendStream(name, more) {
    documentNo += 1;
    const document = `${(0xd0c00000 + (documentNo % 4)).toString(16)}:150`;
    const parts = [FIRST_PART, document, ...more];
    return send(record, router, {
      id: `${name}-${documentNo}`,
      path: '/frame/2f',
      body: `prompt ${documentNo}`,
      headers: promptHeaders(parts),
      deadlineMs: 6_000,
    });
  }
  const percent = (part) => `${Math.round(100 * part)}%`;
  const hasBegun = ({ status, body }) => status === 200 && body !== '';

  const before = await Promise.all(
    Array.from({ length: SOUND_BEFORE }, () => sendStream('sound', [])),
  );
  const begunBefore = before.filter(hasBegun).length / before.length;
  record(`before: ${before.length} sound requests, ${percent(begunBefore)} of them begin`);
  await sleep(QUIET_MS);

  const sound = [];
  const deadly = [];
  const endMs = performance.now() + PLAY_MS;
  for (let no = 0; performance.now() < endMs; no += 1) {
    if (no < FIRST_DEADLY || no % DEADLY_PERIOD === 0)
      deadly.push(sendStream('deadly', [`${DEADLY_PART}:150`]));
    else sound.push(sendStream('sound', []));
    await sleep(PERIOD_MS);
  }
  const seen = await Promise.all(sound);
  await Promise.all(deadly);
  isPlaying = false;
  const referenceMs = crashesAtMs[4] ?? crashesAtMs.at(-1) ?? -Infinity;
  const late = seen.filter(({ sentAtMs }) => sentAtMs > referenceMs + 2 * BOUNDS.contact_ms);
  const begunLate = late.filter(hasBegun).length / late.length;
  record(`${crashesAtMs.length} crashes, ${deadly.length} requests with the part`);
  record(`later: ${late.length} sound requests, ${percent(begunLate)} of them begin`);
  if (before.length < 20 || late.length < 20) throw new Error('too few requests to judge');
  return begunLate < begunBefore / 2
    ? [
        `LOST: ${percent(begunLate)} of the sound requests begin, ${percent(begunBefore)} before the crashes`,
      ]
    : [];
});
