import type { Fleet, FleetNode, RouterSpec } from '../fleet/fleet';
import type { Observer } from './observer';

/** Injects faults at an interval: pauses and restarts of routers, outages and slowness of the store. */
export interface Chaos {
  readonly stop: () => Promise<void>;
  readonly counts: () => Readonly<Record<string, number>>;
}

export interface ChaosOptions {
  readonly fleet: Fleet;
  readonly observer: Observer;
  readonly routers: Map<string, FleetNode>;
  readonly routerSpecOf: (routerId: string) => RouterSpec;
  /** Routers whose address stands in other processes' settings; a restart would change it. */
  readonly neverRestartedIds: readonly string[];
  readonly random: () => number;
  readonly faultIntervalMs: number;
}

const LOST_ANSWER_RATIO = 0.15;
const PAUSE_RANGE_MS = [500, 3_000] as const;
const OUTAGE_RANGE_MS = [500, 3_000] as const;
const SLOW_STORE_DELAY_MS = 300;

export const BASELINE_FAULTS = { isDown: false, delayMs: 0, lostAnswerRatio: LOST_ANSWER_RATIO };

export function startChaos(options: ChaosOptions): Chaos {
  const { fleet, observer, random, routers } = options;
  const counts = { store_outages: 0, store_slow: 0, pauses: 0, restarts: 0 };
  const busy = new Set<string>();
  const running = new Set<Promise<void>>();
  let isStopped = false;
  let isStoreFaulty = false;

  function sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }

  function between([min, max]: readonly [number, number]): number {
    return min + random() * (max - min);
  }

  function pickRouter(ids: readonly string[]): string | undefined {
    const free = ids.filter((id) => !busy.has(id));
    return free[Math.floor(random() * free.length)];
  }

  async function failStore(faults: object, count: 'store_outages' | 'store_slow'): Promise<void> {
    if (isStoreFaulty) return;
    isStoreFaulty = true;
    counts[count] += 1;
    await fleet.setFaults({ ...BASELINE_FAULTS, ...faults });
    await sleep(between(OUTAGE_RANGE_MS));
    await fleet.setFaults(BASELINE_FAULTS);
    isStoreFaulty = false;
  }

  async function pauseRouter(): Promise<void> {
    const id = pickRouter([...routers.keys()]);
    const node = id === undefined ? undefined : routers.get(id);
    if (id === undefined || node === undefined) return;
    busy.add(id);
    counts.pauses += 1;
    observer.markInterrupted(id);
    node.process.pause();
    await sleep(between(PAUSE_RANGE_MS));
    node.process.resume();
    observer.markReturned(id);
    busy.delete(id);
  }

  async function restartRouter(): Promise<void> {
    const id = pickRouter(
      [...routers.keys()].filter((each) => !options.neverRestartedIds.includes(each)),
    );
    const node = id === undefined ? undefined : routers.get(id);
    if (id === undefined || node === undefined) return;
    busy.add(id);
    counts.restarts += 1;
    observer.markInterrupted(id);
    await node.process.kill();
    const started = await fleet.startRouter(options.routerSpecOf(id));
    routers.set(id, started);
    observer.watch(id, started.peerAddress ?? '');
    busy.delete(id);
  }

  function nextFault(): Promise<void> {
    const kind = Math.floor(random() * 4);
    switch (kind) {
      case 0:
        return failStore({ isDown: true }, 'store_outages');
      case 1:
        return failStore({ delayMs: SLOW_STORE_DELAY_MS }, 'store_slow');
      case 2:
        return pauseRouter();
      default:
        return restartRouter();
    }
  }

  async function run(): Promise<void> {
    while (!isStopped) {
      await sleep(options.faultIntervalMs);
      const fault = nextFault().finally(() => running.delete(fault));
      running.add(fault);
    }
  }

  const done = run();
  return {
    stop: async () => {
      isStopped = true;
      await done;
      await Promise.all(running);
    },
    counts: () => counts,
  };
}
