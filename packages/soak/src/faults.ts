import type { StandinServer, StandinPlatform, StoreFault } from '@mimosamill/platform/standin';
import type { LinkFault, FaultProxy } from './fault-proxy';
import type { RouterProcess } from './router-process';

/** What the faults act on. */
export interface FaultTargets {
  readonly platform: StandinPlatform;
  readonly routers: readonly RouterProcess[];
  /** Links to engines and plain servers. */
  readonly serverLinks: readonly FaultProxy[];
  /** Each router's link to the store. */
  readonly storeLinks: readonly FaultProxy[];
  readonly servers: readonly StandinServer[];
  /** Takes a key away; undefined once only one is left. */
  readonly removeKey: () => string | undefined;
  readonly random: () => number;
}

export const FAULT_KINDS = [
  'link_delay',
  'link_reset',
  'link_silence',
  'link_cut_answers',
  'store_link_silence',
  'store_busy',
  'store_silent',
  'store_answers_lost',
  'store_compacted',
  'router_paused',
  'router_killed',
  'router_terminated',
  'router_hangup',
  'server_silent',
  'server_failing',
  'server_extra_answer',
  'key_removed',
] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

const MIN_FAULT_DURATION_MS = 200;
const MAX_FAULT_DURATION_MS = 1_800;
const RESTART_DELAY_MS = 300;
const LINK_DELAY_MS = 60;

/** Injects a fault; the result undoes what does not end by itself. */
export function injectFault(kind: FaultKind, targets: FaultTargets): Promise<void> {
  const { random } = targets;
  const forMs = MIN_FAULT_DURATION_MS + random() * (MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS);
  switch (kind) {
    case 'link_delay':
      return applyLinkFault(
        targets.serverLinks,
        random,
        { kind: 'delay', delayMs: LINK_DELAY_MS },
        forMs,
      );
    case 'link_reset':
      return applyLinkFault(targets.serverLinks, random, { kind: 'reset' }, forMs / 4);
    case 'link_silence':
      return applyLinkFault(targets.serverLinks, random, { kind: 'silence' }, forMs);
    case 'link_cut_answers':
      return applyLinkFault(targets.serverLinks, random, { kind: 'cut_answers' }, forMs);
    case 'store_link_silence':
      return applyLinkFault(targets.storeLinks, random, { kind: 'silence' }, forMs * 2);
    case 'store_busy':
      return applyStoreFault(targets.platform, 'busy', forMs);
    case 'store_silent':
      return applyStoreFault(targets.platform, 'silent', forMs);
    case 'store_answers_lost':
      return applyStoreFault(targets.platform, 'answers_lost', forMs);
    case 'store_compacted':
      targets.platform.store.compact();
      return Promise.resolve();
    case 'router_paused':
      return pauseRouter(pickRandom(targets.routers, random), forMs);
    case 'router_killed':
      return restartRouter(pickRandom(targets.routers, random), 'SIGKILL');
    case 'router_terminated':
      return restartRouter(pickRandom(targets.routers, random), 'SIGTERM');
    case 'router_hangup':
      pickRandom(targets.routers, random).signal('SIGHUP');
      return Promise.resolve();
    case 'server_silent':
      return applyServerFault(pickRandom(targets.servers, random), 'silent', forMs);
    case 'server_failing':
      return applyServerFault(pickRandom(targets.servers, random), 'failing', forMs);
    case 'server_extra_answer':
      return applyServerFault(pickRandom(targets.servers, random), 'extra_answer', forMs);
    case 'key_removed':
      targets.removeKey();
      return Promise.resolve();
    default:
      return kind satisfies never;
  }
}

async function applyLinkFault(
  links: readonly FaultProxy[],
  random: () => number,
  fault: LinkFault,
  forMs: number,
): Promise<void> {
  const link = pickRandom(links, random);
  link.setFault(fault);
  await sleep(forMs);
  // Bytes that a silent link held back are lost, so its connections must not go on.
  if (fault.kind !== 'delay') link.setFault({ kind: 'reset' });
  link.setFault({ kind: 'none' });
}

async function applyStoreFault(
  world: StandinPlatform,
  fault: StoreFault,
  forMs: number,
): Promise<void> {
  world.store.setFault(fault);
  await sleep(forMs);
  world.store.setFault('none');
}

async function applyServerFault(
  server: StandinServer,
  fault: Parameters<StandinServer['setFault']>[0],
  forMs: number,
): Promise<void> {
  server.setFault(fault);
  await sleep(forMs);
  server.setFault('none');
}

async function pauseRouter(router: RouterProcess, forMs: number): Promise<void> {
  router.signal('SIGSTOP');
  await sleep(forMs);
  router.signal('SIGCONT');
}

async function restartRouter(router: RouterProcess, signal: NodeJS.Signals): Promise<void> {
  router.signal('SIGCONT');
  router.signal(signal);
  while (router.isRunning()) await sleep(20);
  await sleep(RESTART_DELAY_MS);
  if (!router.isRunning()) router.start();
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export function pickRandom<T>(list: readonly T[], random: () => number): T {
  const item = list[Math.floor(random() * list.length)];
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
}
