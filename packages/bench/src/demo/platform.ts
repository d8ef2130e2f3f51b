import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { explainFiles } from '@mimosamill/admin';
import {
  sendCallerRequest,
  eventText,
  CALLER_KEY,
  ROUTE_PREFIXES,
  startStandinPlatform,
} from '@mimosamill/platform/standin';
import { createRouterProcess } from '@mimosamill/soak';
import type { CallerResponse, StandinServer, StandinPlatform } from '@mimosamill/platform/standin';
import type { RouterProcess } from '@mimosamill/soak';

/** Figures that the demo on the stand-in of the users' platform prints as its last line. */
export interface PlatformDemoResult {
  readonly events_missing: number;
  readonly stream_engines: number;
  readonly bookings_requested: number;
  readonly bookings_run: number;
  /** HTTP statuses of requests with one API key before and after the key's removal. */
  readonly key_statuses: readonly number[];
  readonly move: string;
}

interface PlatformFleet {
  readonly platform: StandinPlatform;
  readonly engines: readonly StandinServer[];
  readonly routers: readonly RouterProcess[];
  readonly logs: readonly string[];
}

const STREAM_PROFILE = { eventCount: 80, prefillMs: 120, eventGapMs: 25 };
const DOMAINS = ['east', 'west', 'north'];
const ROUTER_TIMES = { revokeMs: 2_500, configMs: 800, drainMs: 600, graceMs: 3_000 };
const CRASH_AT_EVENT = 30;
const BOOKINGS = 10;
const GUEST_KEY = 'key-of-a-guest';
const MOVE_WITHIN_SEC = 4;
const WAIT_MAX_MS = 15_000;
const WAIT_STEP_MS = 20;
const OK = 200;

/** Demonstrates a stream, bookings, a key removal and a move on the stand-in and two routers. */
export async function runPlatformDemo(
  printLine: (line: string) => void,
): Promise<PlatformDemoResult> {
  const directory = mkdtempSync(join(tmpdir(), 'mimosamill-demo-'));
  const fleet = await start(directory);
  try {
    printLine(
      `two routers at ${addressesOf(fleet).join(' and ')}, engines in ${DOMAINS.join(', ')}`,
    );
    const stream = await showStream(fleet, printLine);
    const bookings = await showBookings(fleet, printLine);
    const key = await showKey(fleet, printLine);
    const move = await showMove(fleet, printLine);
    return { ...stream, ...bookings, ...key, move };
  } finally {
    await Promise.all(fleet.routers.map((router) => router.stop()));
    await fleet.platform.close();
    rmSync(directory, { recursive: true, force: true });
  }
}

async function start(directory: string): Promise<PlatformFleet> {
  const platform = await startStandinPlatform(STREAM_PROFILE);
  const engines: StandinServer[] = [];
  for (const domain of DOMAINS) engines.push(await platform.addEngine(`engine-${domain}`, domain));
  await platform.addPlain('shop-1', 'east');
  await platform.addPlain('shop-2', 'west');
  const names = ['router-1', 'router-2'];
  const routers: RouterProcess[] = [];
  for (const [index, name] of names.entries()) {
    const domain = DOMAINS[index] ?? '';
    routers.push(
      await createRouterProcess(name, domain, platform.store.address, ROUTER_TIMES, directory),
    );
  }
  routers.forEach((router) => router.start());
  const fleet = {
    platform,
    engines,
    routers,
    logs: names.map((name) => logFileOf(directory, name)),
  };
  try {
    for (const router of routers) await waitUntil(() => router.isReady());
  } catch (error) {
    await Promise.all(routers.map((router) => router.stop()));
    await platform.close();
    throw error;
  }
  return fleet;
}

const logFileOf = (directory: string, name: string): string => join(directory, `${name}.log`);

function addressesOf({ routers }: PlatformFleet): string[] {
  return routers.map(({ settings }) => settings.callerAddress);
}

function send(
  fleet: PlatformFleet,
  requestId: string,
  kind: keyof typeof ROUTE_PREFIXES,
  apiKey = CALLER_KEY,
): Promise<CallerResponse> {
  const [address = ''] = addressesOf(fleet);
  return sendCallerRequest(address, {
    requestId,
    path: `${ROUTE_PREFIXES[kind]}x`,
    apiKey,
    ...(kind === 'idempotent' ? {} : { body: 'body' }),
    ...(kind === 'stream' ? { headers: { 'x-token-count': '400,80' } } : {}),
  });
}

async function showStream(fleet: PlatformFleet, printLine: (line: string) => void) {
  printLine('\na stream whose engine crashes in the middle:');
  const { runs } = fleet.platform.engines;
  const answer = send(fleet, 'demo-stream', 'stream');
  await waitUntil(() => runs.length > 0);
  await delay(STREAM_PROFILE.prefillMs + STREAM_PROFILE.eventGapMs * CRASH_AT_EVENT);
  await fleet.engines.find(({ serverId }) => serverId === runs[0]?.serverId)?.crash();
  const { body } = await answer;
  const missing = Array.from({ length: STREAM_PROFILE.eventCount }, (_, index) =>
    eventText('demo-stream', index + 1),
  ).filter((text) => !body.includes(text)).length;
  await explain(fleet, 'demo-stream', printLine);
  return {
    events_missing: missing,
    stream_engines: new Set(runs.map(({ serverId }) => serverId)).size,
  };
}

async function showBookings(fleet: PlatformFleet, printLine: (line: string) => void) {
  printLine('\nbookings, each of which may run once:');
  const ids = Array.from({ length: BOOKINGS }, (_, index) => `demo-booking-${index}`);
  const answers = await Promise.all(ids.map((requestId) => send(fleet, requestId, 'once')));
  const served = answers.filter(({ status }) => status === OK).length;
  const runs = fleet.platform.plain.runs.filter(({ requestId }) => ids.includes(requestId)).length;
  await explain(fleet, ids[0] ?? '', printLine);
  return { bookings_requested: served, bookings_run: runs };
}

async function showKey(fleet: PlatformFleet, printLine: (line: string) => void) {
  printLine('\na key that is given and taken away again:');
  const statusOf = async (requestId: string): Promise<number> =>
    (await send(fleet, requestId, 'idempotent', GUEST_KEY)).status;
  let sentCount = 0;
  const sendNext = async (): Promise<number> => {
    sentCount += 1;
    return statusOf(`demo-key-${sentCount}`);
  };
  fleet.platform.setApiKeys([CALLER_KEY, GUEST_KEY]);
  await waitUntil(async () => (await sendNext()) === OK);
  const given = await statusOf('demo-key-given');
  fleet.platform.setApiKeys([CALLER_KEY]);
  await waitUntil(async () => (await sendNext()) !== OK);
  const taken = await statusOf('demo-key-taken');
  await explain(fleet, 'demo-key-taken', printLine);
  return { key_statuses: [given, taken] };
}

async function showMove(fleet: PlatformFleet, printLine: (line: string) => void): Promise<string> {
  printLine('\na move of the shop to version 2:');
  const { platform } = fleet;
  await platform.addPlain('shop-3', 'north', 'v2');
  const order = { service: 'shop', to: 'v2', deadline_s: MOVE_WITHIN_SEC };
  platform.store.put('op', 'rollout/shop', order);
  const status = (): unknown => platform.store.get('status', 'rollout/shop');
  let sentCount = 0;
  await waitUntil(async () => {
    sentCount += 1;
    await send(fleet, `demo-move-${sentCount}`, 'once');
    return status() !== undefined;
  });
  printLine(`the routers wrote ${JSON.stringify(status())}`);
  await explain(fleet, `demo-move-${sentCount}`, printLine);
  const { state } = status() as { state: string };
  return state;
}

/** Prints the output of `mimosactl explain` for the request. */
async function explain(
  fleet: PlatformFleet,
  requestId: string,
  printLine: (line: string) => void,
): Promise<void> {
  const explanation: string[] = [];
  const output = { print: (text: string) => explanation.push(text), printError: () => undefined };
  // The routers write their log lines through a pipe, so they may not be in the files yet.
  await waitUntil(async () => (await explainFiles(requestId, fleet.logs, output)) === 0);
  printLine(`mimosactl explain ${requestId} ${fleet.logs.join(' ')}`);
  explanation.flatMap((text) => text.split('\n')).forEach(printLine);
}

async function waitUntil(isDone: () => boolean | Promise<boolean>): Promise<void> {
  const endMs = performance.now() + WAIT_MAX_MS;
  while (!(await isDone())) {
    if (performance.now() > endMs) throw new Error('expected state not reached in time');
    await delay(WAIT_STEP_MS);
  }
}
