// LOST: a router that serves none of a customer's sound requests takes the part that they share for the
// deadly one, and all routers refuse them from then on.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createManifest, MODEL_SERVICE, runCase, wait } from '../lib/deployment.mjs';

const CLIENT_MS = 25_000;
const CONTACT_MS = 3_000;
const SHARED = '5c1e07a2';
const DEADLY = 'dead0001';
const SESSIONS = ['91bd3f01', '91bd3f02', '91bd3f03', '91bd3f04', '91bd3f05', '91bd3f06'];
const SOUND_PERIOD_MS = 1_500;
/** The answers of the sound request before have ended by then. */
const AFTER_SOUND_MS = 550;
/** Time between the first two deadly requests. */
const APART_MS = 130;
const DEADLY_PERIOD_MS = 2_000;
const BACK_AFTER_MS = 4_000;
const BEFORE_MS = 33_000;
const AFTER_MS = 35_000;

const route = {
  name: 'r-guide',
  host: 'ficu95.example',
  prefix: '/lohu930/',
  kind: 'streaming',
  timeout_ms: 25000,
  slo_ms: 4500,
  priority: 1,
  service: MODEL_SERVICE.name,
  max_attempts: 5,
  public: false,
  sticky: true,
  resumable: true,
  gap_target_ms: 700,
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (start, isTroubled) => {
  const { routers, startEngine, engineEvents, send, note } = await start(
    createManifest([route], [MODEL_SERVICE]),
    3,
  );
  let starts = 0;
  const launch = async (no) => {
    starts += 1;
    const engine = await startEngine({
      no,
      id: `i-${no}-${starts}`,
      service: MODEL_SERVICE.name,
      slots: 128,
      prefillMs: 250,
      gapMs: 30,
      events: 8,
      behaviour: { deadlyPart: DEADLY },
    });
    engine.onExit = () => setTimeout(() => void launch(no).catch(() => undefined), BACK_AFTER_MS);
  };
  for (let no = 1; no <= 12; no += 1) await launch(no);
  routers.forEach((router) => router.start());
  await Promise.all(routers.map((router) => router.untilReady()));
  await wait(3_000);

  const sound = [];
  const deadly = [];
  let no = 0;
  let lastSoundAtMs = 0;

  function sendPrompt(list, router, client, parts) {
    no += 1;
    const entry = { sentAtMs: Date.now(), id: undefined };
    list.push(entry);
    const prefix = [...parts, `${(0xe4402000 + no).toString(16)}:250`].join(',');
    entry.answer = send(router, {
      client,
      path: '/lohu930/2f',
      deadlineMs: CLIENT_MS,
      headers: { 'x-model': 'm', 'x-token-count': '1250,48', 'x-prompt-prefix': prefix },
      body: Buffer.from(`prompt ${no}`),
      note: { prefix },
    }).then((seen) => {
      entry.status = seen.status;
      entry.hasBegun = seen.status === 200 && seen.lastEventId > 0;
      entry.id = seen.id;
    });
  }

  const session = () => `${SESSIONS[no % SESSIONS.length]}:500`;
  // Two clients keep their channels to the first and the second router.
  const sendSound = () =>
    sendPrompt(sound, routers[no % 2], `sound-${no % 2}`, [`${SHARED}:500`, session()]);
  const sendDeadly = (at) =>
    sendPrompt(deadly, routers[at % routers.length], `other-${at}`, [
      `${SHARED}:500`,
      session(),
      `${DEADLY}:100`,
    ]);

  const endAtMs = { value: Infinity };
  const soundTraffic = (async () => {
    while (Date.now() < endAtMs.value) {
      lastSoundAtMs = Date.now();
      sendSound();
      await wait(SOUND_PERIOD_MS);
    }
  })();
  await wait(BEFORE_MS);
  const troubleAtMs = Date.now();
  endAtMs.value = troubleAtMs + 2 * CONTACT_MS + AFTER_MS;
  const deadlyTraffic = (async () => {
    if (!isTroubled) return;
    let at = 0;
    note('trouble: requests with a part that crashes engines');
    // The first two come together, at two machines; the others later, at any machine.
    await wait(lastSoundAtMs + AFTER_SOUND_MS + SOUND_PERIOD_MS - Date.now());
    while (Date.now() < endAtMs.value - 2_000) {
      sendDeadly(at);
      await wait(at === 0 ? APART_MS : DEADLY_PERIOD_MS);
      at += 1;
    }
  })();
  await Promise.all([soundTraffic, deadlyTraffic]);
  await wait(2_000);

  const crashes = engineEvents.filter(({ kind }) => kind === 'crashed').map(({ atMs }) => atMs);
  const fifthAtMs = crashes.sort((a, b) => a - b)[4] ?? crashes.at(-1) ?? troubleAtMs;
  const share = (list) => list.filter(({ hasBegun }) => hasBegun === true).length / list.length;
  const outside = sound.filter(({ sentAtMs }) => sentAtMs < troubleAtMs);
  const after = sound.filter(
    ({ sentAtMs }) => sentAtMs >= fifthAtMs + 2 * CONTACT_MS && sentAtMs <= endAtMs.value,
  );
  note('count', {
    crashes: crashes.length,
    deadly: deadly.length,
    outside: outside.length,
    outsideBegun: share(outside),
    after: after.length,
    afterBegun: share(after),
    afterStatuses: after.map(({ status }) => status).join(),
  });
  if (outside.length < 20 || after.length < 20) throw new Error('fewer than 20 sound requests');
  if (share(after) >= share(outside) / 2) return [];
  return [
    `LOST: ${Math.round(share(outside) * 100)}% of ${outside.length} sound requests with the first part ` +
      `${SHARED} began before, ${Math.round(share(after) * 100)}% of ${after.length} from 2 x contact_ms ` +
      `after crash ${Math.min(5, crashes.length)} of ${crashes.length} on`,
  ];
});
