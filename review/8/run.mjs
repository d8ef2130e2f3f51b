// An engine adds the line `Connection: close` to its answers, beside the line `Connection: keep-alive`.
import {
  createManifest,
  eventIds,
  GUIDE,
  hasTrouble,
  promptHeaders,
  runCase,
  send,
  sleep,
} from '../standin-2/lib.mjs';

const PIECES = 30;
const STREAMS = 6;
const ENGINES = [
  ['i-7f3a91c2', 'jabal-weibdeh'],
  ['i-02d9e6b4', 'marka'],
  ['i-51c0ffee', 'sweileh'],
];
const LEAVING_ID = 'i-02d9e6b4';
const FAILING_PATH = '/rib/failing';
/** A route whose streams may not be resumed, so that an engine's own 500 is passed on. */
const RIB_ROUTE = {
  name: 'rib-joint',
  prefix: '/rib/',
  kind: 'streaming',
  timeout_ms: 25_000,
  slo_ms: 4_500,
  service: GUIDE,
  max_attempts: 1,
  gap_target_ms: 700,
};

await runCase(import.meta.url, async (deployment, record) => {
  const store = await deployment.startStore();
  store.putManifest(createManifest(7, { routes: [RIB_ROUTE] }));
  for (const [id, zone] of ENGINES) {
    const closes = hasTrouble && id === LEAVING_ID;
    await deployment.startEngine(store, {
      id,
      zone,
      service: GUIDE,
      isStreaming: true,
      pieces: PIECES,
      failingPath: FAILING_PATH,
      failureHeaders: { connection: hasTrouble ? ['keep-alive', 'close'] : 'close' },
      headers: { connection: closes ? ['keep-alive', 'close'] : 'keep-alive' },
    });
  }
  const router = await deployment.startRouter('front-marka-1', 'marka', store);
  await router.waitReady();
  const sendStream = (path) =>
    send(record, router, { path, body: 'prompt', headers: promptHeaders(), deadlineMs: 25_000 });
  const problems = [];

  const seen = await Promise.all(Array.from({ length: STREAMS }, () => sendStream('/frame/2f')));
  seen.forEach(({ id, status, headers, body, isComplete }) => {
    const ids = eventIds(body);
    record(
      `${id}: status ${status}, first piece ${ids[0]}, ${ids.length} pieces, ${isComplete ? 'complete' : 'cut off'}`,
    );
    if (status !== 200 || !isComplete) return;
    if (headers['x-server-seal'] === undefined)
      problems.push(`MIXED: ${id} is a success without a seal`);
    if (ids.length < PIECES)
      problems.push(`ORDER, MIXED: ${id} lacks ${PIECES - ids.length} pieces and ends as complete`);
  });

  // Streams of others run while engines answer one request with their own 500, without a length.
  const others = Array.from({ length: STREAMS }, () => sendStream('/rib/2f'));
  await sleep(300);
  const failed = await Promise.all(ENGINES.map(() => sendStream(FAILING_PATH)));
  failed.forEach(({ id, status }) =>
    record(`${id}: the engine answered 500, the client has ${status}`),
  );
  (await Promise.all(others)).forEach(({ id, isComplete }) => {
    if (!isComplete) problems.push(`the answer of ${id} is cut off`);
  });
  await sleep(200);
  if (router.child.exitCode !== null)
    problems.push('the process of the router has ended by itself');
  return problems;
});
