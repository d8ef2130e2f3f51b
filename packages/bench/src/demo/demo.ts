import { setTimeout as delay } from 'node:timers/promises';
import { loadHashFunctions, sha256Hex } from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import { expectedTokenTexts } from '@mimosamill/fakes';
import { readStream } from '../fleet/caller';
import { basicChanges } from '../fleet/config';
import { startFleet } from '../fleet/fleet';
import { createCli } from './cli';
import { PROMPT } from './prompt';
import type { ConfigChange, CustomerId } from '@mimosamill/core';
import type { CallerResult } from '../fleet/caller';
import type { Fleet, FleetNode } from '../fleet/fleet';
import type { Cli } from './cli';

/** Figures that the demo prints as its last line. */
export interface DemoResult {
  readonly tokens_missing: number;
  readonly tokens_repeated: number;
  readonly resume_ms: number;
  readonly bookings_requested: number;
  readonly bookings_run: number;
  readonly move: string;
}

export interface Demo {
  readonly result: DemoResult;
  /** Example commands for the running fleet. */
  readonly hints: readonly string[];
  readonly stop: () => Promise<void>;
}

interface DemoFleet {
  readonly fleet: Fleet;
  readonly engines: readonly FleetNode[];
  readonly servers: readonly FleetNode[];
  readonly routers: readonly FleetNode[];
  readonly admin: FleetNode;
  readonly cli: Cli;
}

const SERVICE = 'bench-guide';
const SHOP = 'guild-shop';
const MODEL = 'guide';
const DOMAINS = ['jabal-weibdeh', 'marka', 'sweileh'];
const ENGINES = 4;
const CALLER_KEY = 'demo-caller-key';
const ADMIN_KEY = 'demo-admin-key';
const TOKENS = 400;
const KILL_AT_TOKEN = 150;
const BOOKINGS = 20;
const MOVE_DEADLINE = '150s';
const MAX_TRIES = 20;
const RETRY_MS = 200;

/** The fields of a call's answer that the demo reads. */
interface CallAnswer {
  readonly error?: {
    readonly code: string;
    readonly not_run: boolean;
    readonly retry_after_ms?: number;
  };
}

/** Demonstrates on a small fleet: an engine crash under a stream, duplicate bookings, a version move. */
export async function runDemo(printLine: (line: string) => void): Promise<Demo> {
  const fleet = await startFleet({ weightsSizeBytes: 5e8 });
  try {
    const demo = await startDemoFleet(fleet, printLine);
    await configure(demo, printLine);
    const stream = await showStream(demo, printLine);
    const bookings = await showBookings(demo, printLine);
    const move = await showMove(demo, printLine);
    return {
      result: { ...stream, ...bookings, move },
      hints: hintsFor(demo),
      stop: fleet.stop,
    };
  } catch (error) {
    await fleet.stop();
    throw error;
  }
}

async function startDemoFleet(fleet: Fleet, printLine: (line: string) => void): Promise<DemoFleet> {
  const engines = await Promise.all(
    Array.from({ length: ENGINES }, (_, index) =>
      fleet.startEngine({
        id: `engine-${index}`,
        service: SERVICE,
        model: MODEL,
        versions: ['v1'],
        failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
      }),
    ),
  );
  const servers = await Promise.all([
    fleet.startService('shop-0', SHOP, 'marka'),
    fleet.startService('shop-1', SHOP, 'sweileh'),
  ]);
  const routers: FleetNode[] = [];
  for (const [index, failureDomain] of DOMAINS.entries()) {
    routers.push(await fleet.startRouter({ id: `router-${index}`, failureDomain }));
  }
  const [routerPeer = ''] = fleet.routerPeers();
  const admin = await fleet.startAdmin({
    platform: fleet.platformAddress,
    routerPeer,
    firstAdministrator: { team: 'guild', name: 'demo', keyHash: sha256Hex(ADMIN_KEY) },
  });
  for (const [index, routerPeerAddress] of fleet.routerPeers().entries()) {
    const hostId = `host-${index}`;
    const platform = fleet.platformAddress;
    await fleet.startController({ hostId, platform, routerPeerAddress });
  }
  printLine(
    `started ${ENGINES} engines, 2 shop servers, 3 routers, 3 controllers and the admin API`,
  );
  return { fleet, engines, servers, routers, admin, cli: createCli(admin.address, ADMIN_KEY) };
}

async function configure(demo: DemoFleet, printLine: (line: string) => void): Promise<void> {
  const { cli, fleet, routers } = demo;
  const changes: ConfigChange[] = [
    ...basicChanges({
      engineService: SERVICE,
      model: MODEL,
      version: 'v1',
      plainService: SHOP,
      customer: 'rib-gluers',
      key: CALLER_KEY,
    }).filter(({ kind }) => kind !== 'put_team'),
    { kind: 'set_defaults', defaults: { requestsPerSec: 100 } },
    {
      kind: 'put_exception',
      exception: {
        id: 'apprentices-evening',
        scope: { customer: asId<CustomerId>('rib-gluers') },
        setting: 'concurrentStreams',
        value: 50,
        reason: 'evening classes read along on one key',
      },
    },
  ];
  await cli.run(['apply', '-', '--why', 'open the workshop'], JSON.stringify(changes));
  await fleet.waitReady(routers);
  await waitUntil(async () => {
    const status = JSON.parse(await cli.run(['status', '--json'])) as { isEverywhere: boolean };
    return status.isEverywhere;
  });
  printLine('configured services, a customer, defaults and one exception with mimosactl');
  (await cli.run(['status']))
    .trimEnd()
    .split('\n')
    .forEach((line) => printLine(`  ${line}`));
}

function readDemoStream(
  demo: DemoFleet,
  router: number,
  onToken?: (index: number) => void,
): Promise<CallerResult> {
  return readStream({
    dispatcher: demo.fleet.http.dispatcher,
    key: CALLER_KEY,
    body: { model: MODEL, prompt: PROMPT, max_tokens: TOKENS },
    routerFor: (connection) => demo.routers[(router + connection) % demo.routers.length]?.address,
    ...(onToken === undefined ? {} : { onToken }),
  });
}

async function showStream(
  demo: DemoFleet,
  printLine: (line: string) => void,
): Promise<Pick<DemoResult, 'tokens_missing' | 'tokens_repeated' | 'resume_ms'>> {
  const { hash32 } = await loadHashFunctions();
  const source = { model: MODEL, version: 'v1', adapter: '', prompt: PROMPT, seed: 0 };
  const expected = expectedTokenTexts(source, TOKENS, hash32);
  let killed: Promise<void> = Promise.resolve();
  const result = await readDemoStream(demo, 0, (index) => {
    if (index === KILL_AT_TOKEN) killed = killBusyEngine(demo);
  });
  await killed;
  const missing = expected.filter((text, index) => result.texts[index] !== text).length;
  const repeated = result.misnumbered + Math.max(0, result.texts.length - expected.length);
  const resumeMs = Math.round(Math.max(...result.gapsMs.slice(KILL_AT_TOKEN)));
  printLine(
    `streamed ${result.texts.length} tokens; the engine was killed after ${KILL_AT_TOKEN} of them`,
  );
  printLine(
    `  missing ${missing}, repeated ${repeated}, longest wait after the loss ${resumeMs} ms`,
  );
  return { tokens_missing: missing, tokens_repeated: repeated, resume_ms: resumeMs };
}

async function killBusyEngine(demo: DemoFleet): Promise<void> {
  for (const engine of demo.engines) {
    const answer = (await demo.fleet.get(engine.address, '/v1/running')) as {
      request_ids: string[];
    };
    if (answer.request_ids.length > 0) {
      await engine.process.kill();
      return;
    }
  }
}

async function showBookings(
  demo: DemoFleet,
  printLine: (line: string) => void,
): Promise<Pick<DemoResult, 'bookings_requested' | 'bookings_run'>> {
  const refusals: Record<string, number> = {};
  const send = async (slot: number, router: number): Promise<CallAnswer> => {
    const address = demo.routers[router % demo.routers.length]?.address ?? '';
    const answer = await demo.fleet.http.fetch(`http://${address}/v1/services/${SHOP}/book`, {
      method: 'POST',
      headers: { authorization: `Bearer ${CALLER_KEY}`, 'idempotency-key': `slot-${slot}` },
      body: JSON.stringify({ slot }),
      timeoutMs: 10_000,
    });
    return answer.kind === 'ok' ? (JSON.parse(answer.body) as CallAnswer) : {};
  };
  /** Resends a booking that was refused as not run, which is safe for any client. */
  const book = async (slot: number, router: number): Promise<void> => {
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const { error } = await send(slot, router);
      if (error?.not_run !== true) return;
      refusals[error.code] = (refusals[error.code] ?? 0) + 1;
      await delay(error.retry_after_ms ?? RETRY_MS);
    }
  };
  const slots = Array.from({ length: BOOKINGS }, (_, slot) => slot);
  // Each booking is sent through two routers at the same time, like a client that resends early.
  await Promise.all(slots.flatMap((slot) => [book(slot, slot), book(slot, slot + 1)]));
  const runs = await Promise.all(
    demo.servers.map((server) => demo.fleet.get(server.address, '/runs')),
  );
  const bookingsRun = runs
    .flatMap((answer) => (answer as { runs: { runs: number }[] }).runs)
    .reduce((sum, entry) => sum + entry.runs, 0);
  printLine(`booked ${BOOKINGS} slots, each sent through two routers at once: ${bookingsRun} runs`);
  printLine(`  refused as not run and sent again: ${JSON.stringify(refusals)}`);
  return { bookings_requested: BOOKINGS, bookings_run: bookingsRun };
}

async function showMove(demo: DemoFleet, printLine: (line: string) => void): Promise<string> {
  const { cli } = demo;
  const ordered = JSON.parse(
    await cli.run([
      'move',
      'order',
      SERVICE,
      'v2',
      '--by',
      MOVE_DEADLINE,
      '--reason',
      'demo',
      '--json',
    ]),
  ) as { move: { id: string } };
  const { id } = ordered.move;
  printLine(`ordered ${SERVICE} to v2 by ${MOVE_DEADLINE} from now (move ${id}); callers go on`);
  let isMoving = true;
  const callers = Promise.all(
    [0, 1, 2].map(async (router) => {
      while (isMoving) await readDemoStream(demo, router);
    }),
  );
  await cli.follow(['move', 'watch', id], (line) => printLine(`  ${line}`));
  isMoving = false;
  await callers;
  const moves = JSON.parse(await cli.run(['move', 'list', '--json'])) as {
    items: { id: string; state: string }[];
  };
  return moves.items.find((move) => move.id === id)?.state ?? 'absent';
}

function hintsFor(demo: DemoFleet): string[] {
  const router = demo.routers[1]?.address ?? '';
  return [
    `curl -N http://${router}/v1/completions -H 'authorization: Bearer ${CALLER_KEY}' -d '{"model":"${MODEL}","prompt":"Which clamp first?","max_tokens":40,"stream":true}'`,
    `curl http://${router}/v1/services/${SHOP}/book -H 'authorization: Bearer ${CALLER_KEY}' -H 'idempotency-key: slot-99' -d '{"slot":99}'`,
    `MIMOSACTL_SERVER=${demo.admin.address} MIMOSACTL_KEY=${ADMIN_KEY} node dist/mimosactl.mjs list services`,
    `MIMOSACTL_SERVER=${demo.admin.address} MIMOSACTL_KEY=${ADMIN_KEY} node dist/mimosactl.mjs history`,
  ];
}

async function waitUntil(isTrue: () => Promise<boolean>): Promise<void> {
  const untilMs = performance.now() + 15_000;
  while (!(await isTrue())) {
    if (performance.now() > untilMs) throw new Error('configuration not in force within 15 s');
    await delay(RETRY_MS);
  }
}
