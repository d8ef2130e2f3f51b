import type { HttpClient } from '@mimosamill/adapters';

/** The time at which a router process was first seen with a higher revision. */
interface RevisionObservation {
  readonly revision: number;
  readonly atMs: number;
}

/** Polls every router's revision and records when each revision came into force. */
export interface Observer {
  /** Starts to poll a router process; replaces an earlier process with the same id. */
  readonly watch: (routerId: string, peerAddress: string) => void;
  /** Excludes the router until it is watched again or marked as returned. */
  readonly markInterrupted: (routerId: string) => void;
  /** Includes the router again and records the time of its return. */
  readonly markReturned: (routerId: string) => void;
  /**
   * Time until every router had the revision in force, counted from its acceptance or, for a router
   * that was not running then, from its return. Undefined while one does not have it in force.
   */
  readonly inForceMs: (revision: number, acceptedAtMs: number) => number | undefined;
  readonly lowestRevision: () => number;
  readonly counts: () => ObserverCounts;
  readonly stop: () => void;
}

export interface ObserverCounts {
  /** Times that a process reported a lower revision than before. */
  readonly reverts: number;
  /** Restarted processes whose first revision was lower than the last of their predecessor. */
  readonly restartedBehind: number;
}

interface WatchedProcess {
  readonly routerId: string;
  readonly peerAddress: string;
  readonly sightings: RevisionObservation[];
  /** Times at which the router was running again. */
  readonly returns: number[];
  isExpected: boolean;
  isOver: boolean;
}

const POLL_PERIOD_MS = 50;
const POLL_TIMEOUT_MS = 400;

export function createObserver(http: HttpClient): Observer {
  const current = new Map<string, WatchedProcess>();
  // Processes of each router, oldest first.
  const processes = new Map<string, WatchedProcess[]>();
  let reverts = 0;
  let restartedBehind = 0;
  let isStopped = false;

  function note(router: WatchedProcess, revision: number, before: number): void {
    const last = router.sightings.at(-1);
    if (last === undefined && revision < before) restartedBehind += 1;
    if (last !== undefined && revision < last.revision) reverts += 1;
    if (last === undefined || revision > last.revision) {
      router.sightings.push({ revision, atMs: performance.now() });
    }
  }

  async function follow(router: WatchedProcess, before: number): Promise<void> {
    while (!isStopped && !router.isOver) {
      const url = `http://${router.peerAddress}/config.state`;
      const answer = await http.fetch(url, { method: 'GET', timeoutMs: POLL_TIMEOUT_MS });
      if (answer.kind === 'ok' && answer.status === 200 && !router.isOver) {
        const { result } = JSON.parse(answer.body) as {
          result: { data: { revision: number; isReady: boolean } };
        };
        if (result.data.isReady) note(router, result.data.revision, before);
      }
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_PERIOD_MS);
      });
    }
  }

  function reachedMs(id: string, revision: number, acceptedAtMs: number): number | undefined {
    const all = processes.get(id) ?? [];
    const seen = all
      .flatMap(({ sightings }) => sightings)
      .find((sighting) => sighting.revision >= revision);
    if (seen === undefined) return undefined;
    const returns = all.flatMap((router) => router.returns).filter((atMs) => atMs <= seen.atMs);
    return Math.max(0, seen.atMs - Math.max(acceptedAtMs, ...returns));
  }

  return {
    watch: (routerId, peerAddress) => {
      const earlier = current.get(routerId);
      if (earlier !== undefined) earlier.isOver = true;
      const router: WatchedProcess = {
        routerId,
        peerAddress,
        sightings: [],
        returns: [performance.now()],
        isExpected: true,
        isOver: false,
      };
      current.set(routerId, router);
      processes.set(routerId, [...(processes.get(routerId) ?? []), router]);
      void follow(router, earlier?.sightings.at(-1)?.revision ?? 0);
    },
    markInterrupted: (routerId) => {
      const router = current.get(routerId);
      if (router !== undefined) router.isExpected = false;
    },
    markReturned: (routerId) => {
      const router = current.get(routerId);
      if (router === undefined) return;
      router.isExpected = true;
      router.returns.push(performance.now());
    },
    inForceMs: (revision, acceptedAtMs) => {
      const times = [...current.values()]
        .filter(({ isExpected }) => isExpected)
        .map((router) => reachedMs(router.routerId, revision, acceptedAtMs));
      const known = times.filter((ms) => ms !== undefined);
      return known.length < times.length ? undefined : Math.max(...known);
    },
    lowestRevision: () =>
      Math.min(...[...current.values()].map(({ sightings }) => sightings.at(-1)?.revision ?? 0)),
    counts: () => ({ reverts, restartedBehind }),
    stop: () => {
      isStopped = true;
    },
  };
}
