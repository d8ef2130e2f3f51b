import type { StandinServer, StandinPlatform, StoreFault } from '@mimosamill/platform/standin';
import type { LinkFault, Proxy } from './proxy';
import type { RouterProcess } from './router';

/** What the faults act on. */
export interface FaultTargets {
  readonly world: StandinPlatform;
  readonly routers: readonly RouterProcess[];
  /** Links to engines and plain servers. */
  readonly links: readonly Proxy[];
  /** Each router's link to the store. */
  readonly storeLinks: readonly Proxy[];
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

const SHORTEST_MS = 200;
const LONGEST_MS = 1_800;
const RESTART_MS = 300;
const DELAY_MS = 60;

/** Injects a fault; the result undoes what does not end by itself. */
export function inject(kind: FaultKind, targets: FaultTargets): Promise<void> {
  const { random } = targets;
  const forMs = SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS);
  switch (kind) {
    case 'link_delay':
      return onLink(targets.links, random, { kind: 'delay', delayMs: DELAY_MS }, forMs);
    case 'link_reset':
      return onLink(targets.links, random, { kind: 'reset' }, forMs / 4);
    case 'link_silence':
      return onLink(targets.links, random, { kind: 'silence' }, forMs);
    case 'link_cut_answers':
      return onLink(targets.links, random, { kind: 'cut_answers' }, forMs);
    case 'store_link_silence':
      return onLink(targets.storeLinks, random, { kind: 'silence' }, forMs * 2);
    case 'store_busy':
      return onStore(targets.world, 'busy', forMs);
    case 'store_silent':
      return onStore(targets.world, 'silent', forMs);
    case 'store_answers_lost':
      return onStore(targets.world, 'answers_lost', forMs);
    case 'store_compacted':
      targets.world.store.compact();
      return Promise.resolve();
    case 'router_paused':
      return pauseRouter(pick(targets.routers, random), forMs);
    case 'router_killed':
      return restart(pick(targets.routers, random), 'SIGKILL');
    case 'router_terminated':
      return restart(pick(targets.routers, random), 'SIGTERM');
    case 'router_hangup':
      pick(targets.routers, random).signal('SIGHUP');
      return Promise.resolve();
    case 'server_silent':
      return onServer(pick(targets.servers, random), 'silent', forMs);
    case 'server_failing':
      return onServer(pick(targets.servers, random), 'failing', forMs);
    case 'server_extra_answer':
      return onServer(pick(targets.servers, random), 'extra_answer', forMs);
    case 'key_removed':
      targets.removeKey();
      return Promise.resolve();
    default:
      return kind satisfies never;
  }
}

async function onLink(
  links: readonly Proxy[],
  random: () => number,
  fault: LinkFault,
  forMs: number,
): Promise<void> {
  const link = pick(links, random);
  link.setFault(fault);
  await pause(forMs);
  // Bytes that a silent link held back are lost, so its connections must not go on.
  if (fault.kind !== 'delay') link.setFault({ kind: 'reset' });
  link.setFault({ kind: 'none' });
}

async function onStore(world: StandinPlatform, fault: StoreFault, forMs: number): Promise<void> {
  world.store.setFault(fault);
  await pause(forMs);
  world.store.setFault('none');
}

async function onServer(
  server: StandinServer,
  fault: Parameters<StandinServer['setFault']>[0],
  forMs: number,
): Promise<void> {
  server.setFault(fault);
  await pause(forMs);
  server.setFault('none');
}

async function pauseRouter(router: RouterProcess, forMs: number): Promise<void> {
  router.signal('SIGSTOP');
  await pause(forMs);
  router.signal('SIGCONT');
}

async function restart(router: RouterProcess, signal: NodeJS.Signals): Promise<void> {
  router.signal('SIGCONT');
  router.signal(signal);
  while (router.isRunning()) await pause(20);
  await pause(RESTART_MS);
  if (!router.isRunning()) router.start();
}

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export function pick<T>(list: readonly T[], random: () => number): T {
  const item = list[Math.floor(random() * list.length)];
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
}
