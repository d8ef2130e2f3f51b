// EXPOSURE: routers remember what a process that has ended said of an earlier order to a version, and
// take a new order to that version for completed.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createManifest, PLAIN_SERVICE, runCase, wait } from '../lib/deployment.mjs';

const DEADLINE_S = 12;
const EXPOSURE_SHARE = 0.1;
const EXPOSURE_SLACK = 50;
const SENDS_PER_S = 40;
const CLIENT_MS = 2_500;
const FAILING_PART = 0.5;

const route = {
  name: 'r-booking',
  host: 'ficu95.example',
  prefix: '/pule252/',
  kind: 'unsafe',
  timeout_ms: 1200,
  slo_ms: 150,
  priority: 2,
  service: PLAIN_SERVICE.name,
  max_attempts: 1,
  public: false,
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (start, isTroubled) => {
  const { routers, startEngine, engines, engineEvents, store, send, note } = await start(
    createManifest([route], [PLAIN_SERVICE]),
    3,
  );
  const versionOf = new Map();
  let engineNo = 0;

  /** Starts three engines of a version beside those that run. */
  async function startVersion(version) {
    const started = [];
    for (let zone = 0; zone < 3; zone += 1) {
      engineNo += 1;
      const id = `i-${engineNo}-${version}`;
      versionOf.set(id, version);
      started.push(
        await startEngine({
          no: engineNo,
          id,
          service: PLAIN_SERVICE.name,
          slots: 6,
          answerMs: 20,
          version,
        }),
      );
    }
    return started;
  }

  async function stopEngines(list) {
    list.forEach(({ id, child }) => {
      store.remove('servers', id);
      child.kill('SIGKILL');
    });
    await wait(500);
  }

  let running = await startVersion('v1');
  routers.forEach((router) => router.start());
  await Promise.all(routers.map((router) => router.untilReady()));
  await wait(3_000);

  const isOpen = routers.map(() => true);
  let isOver = false;
  let sent = 0;
  const pending = [];
  const traffic = (async () => {
    while (!isOver) {
      const open = routers.filter((_, at) => isOpen[at]);
      const router = open[sent % open.length];
      sent += 1;
      pending.push(
        send(router, {
          client: `client-${sent % 12}`,
          path: '/pule252/2f',
          deadlineMs: CLIENT_MS,
          body: Buffer.from(`booking ${sent}`),
        }),
      );
      await wait(1000 / SENDS_PER_S);
    }
  })();

  /** Orders a version and waits for its end or its time; like the platform, stops the old engines then. */
  async function order(version) {
    const fresh = await startVersion(version);
    const orderedAtMs = Date.now();
    note('order', { version });
    store.put('op', `rollout/${PLAIN_SERVICE.name}`, {
      service: PLAIN_SERVICE.name,
      to: version,
      deadline_s: DEADLINE_S,
    });
    const state = () => {
      const status = store.get('status', `rollout/${PLAIN_SERVICE.name}`);
      return status?.to === version ? status.state : undefined;
    };
    return { fresh, orderedAtMs, state };
  }

  async function untilEnded({ orderedAtMs, state }) {
    while (state() !== 'completed' && state() !== 'rolled_back') {
      if (Date.now() - orderedAtMs > (DEADLINE_S + 3) * 1000) return undefined;
      await wait(50);
    }
    note('order ended', { state: state(), tookMs: Date.now() - orderedAtMs });
    return state();
  }

  async function moveWell(version) {
    const move = await order(version);
    if ((await untilEnded(move)) !== 'completed') throw new Error(`${version} was not completed`);
    await stopEngines(running);
    running = move.fresh;
  }

  await moveWell('v2');
  await wait(2_000);
  if (isTroubled) {
    // Planned work: one machine is stopped and started again.
    const [router] = routers;
    router.signal('SIGTERM');
    await wait(2_000);
    isOpen[0] = false;
    await router.ended;
    router.start();
    await router.untilReady();
    isOpen[0] = true;
    await wait(2_000);
  }
  await moveWell('v1');
  await wait(3_000);

  // The version fails now: a part of its answers are failures.
  const last = await order('v2');
  last.fresh.forEach(({ child }) => child.send({ fail: FAILING_PART }));
  const ended = untilEnded(last);
  await wait(DEADLINE_S * 1000);
  const untilMs = last.orderedAtMs + DEADLINE_S * 1000;
  await ended;
  isOver = true;
  await traffic;
  await Promise.all(pending);

  const inTime = engineEvents.filter(
    ({ kind, atMs }) => kind === 'began' && atMs >= last.orderedAtMs && atMs <= untilMs,
  );
  const freshIds = new Set(last.fresh.map(({ id }) => id));
  const exposed = inTime.filter(({ engine }) => freshIds.has(engine));
  const failed = engineEvents.filter(
    ({ engine, status }) => freshIds.has(engine) && status === 500,
  );
  const bound = EXPOSURE_SHARE * inTime.length + EXPOSURE_SLACK;
  note('count', {
    requests: inTime.length,
    exposed: exposed.length,
    bound,
    failed: failed.length,
    state: last.state(),
    engines: engines.size,
  });
  if (exposed.length <= bound) return [];
  return [
    `EXPOSURE: the bad version got ${exposed.length} of ${inTime.length} requests between the order and ` +
      `its time budget (bound ${Math.round(bound)}), and failed ${failed.length}; its state is ${last.state()}`,
  ];
});
