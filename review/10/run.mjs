// A server spoils one answer: a digit of its status line is wrong.
import {
  createManifest,
  hasTrouble,
  runCase,
  send,
  SHOP,
  sleep,
  waitFor,
} from '../standin-2/lib.mjs';

const SERVERS = [
  ['i-7f3a91c2', 'jabal-weibdeh'],
  ['i-02d9e6b4', 'marka'],
  ['i-51c0ffee', 'sweileh'],
];
const SPOILT_STATUS_LINE = process.env.LINE ?? 'HTTP/1.1 000 OK';
const TIMEOUT_MS = 1_200;
const LATE_MS = 500;
const PERIOD_MS = 50;

await runCase(import.meta.url, async (deployment, record) => {
  const store = await deployment.startStore();
  store.putManifest(createManifest(7));
  const servers = [];
  for (const [id, zone] of SERVERS) {
    servers.push(await deployment.startEngine(store, { id, zone, service: SHOP, slots: 6 }));
  }
  const router = await deployment.startRouter('front-marka-1', 'marka', store);
  await router.waitReady();
  let isPlaying = true;
  const answers = [];
  const traffic = (async () => {
    while (isPlaying) {
      answers.push(send(record, router, { path: '/stock/2f' }));
      await sleep(PERIOD_MS);
    }
  })();
  await sleep(3_000);
  const [faulty] = servers;
  if (hasTrouble) {
    faulty.tell({ badStatusLine: SPOILT_STATUS_LINE });
    await waitFor('the spoilt answer', () => faulty.events.some(({ kind }) => kind === 'spoilt'));
  }
  await sleep(8_000);
  isPlaying = false;
  await traffic;
  const seen = await Promise.all(answers);
  const tookMs = ({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs;
  const late = seen.filter((answer) => tookMs(answer) > TIMEOUT_MS);
  const unanswered = late.filter((answer) => tookMs(answer) > TIMEOUT_MS + LATE_MS);
  const none = seen.filter(({ status }) => status === 0);
  record(`${seen.length} lookups; ${none.length} got no answer at all within their 2.5 s`);
  record(
    `${late.length} unanswered at timeout_ms, ${unanswered.length} of them half a second later`,
  );
  return unanswered.length > late.length / 2
    ? [
        `CONFIG: ${unanswered.length} of ${late.length} requests have no answer half a second after timeout_ms`,
      ]
    : [];
});
