import { asId } from '@mimosamill/core';
import { createCrashGuard } from '../../src/forward/crash-guard';
import { createManualClock } from './clock';
import type { FailureDomain, Fingerprint, PromptPartId, RequestId } from '@mimosamill/core';
import type { RequestContent } from '../../src/forward/content';
import type { CrashGuard } from '../../src/forward/crash-guard';
import type { ManualClock } from './clock';

export const SHARED = asId<PromptPartId>('shared');
export const DEADLY = asId<PromptPartId>('deadly');
export const DOMAINS = ['east', 'west', 'north'];
/** Time from a router's report to its arrival at the others. */
export const DELIVERY_MS = 20;

export function createContent(name: string, ...parts: PromptPartId[]): RequestContent {
  return { fingerprint: () => asId<Fingerprint>(`content of ${name}`), parts };
}

export interface GuardFleet {
  readonly clock: ManualClock;
  readonly guards: readonly CrashGuard[];
  /** A server crashes at the router when it begins to answer a prompt with the deadly part. */
  readonly crashAt: (router: number, request: string) => Promise<void>;
  readonly refusesSound: () => readonly boolean[];
  /** Stops or resumes the delivery of what routers tell. */
  readonly setConnected: (isConnected: boolean) => void;
}

/** Routers that tell each other what they know as soon as it changes. */
export function createGuardFleet(routerCount: number): GuardFleet {
  const clock = createManualClock();
  let isConnected = true;
  let crashes = 0;
  const guards: CrashGuard[] = [];

  function tellOthers(router: number): void {
    clock.runAfter(DELIVERY_MS, () => {
      const reports = guards[router]?.ownReports(clock.monotonicMs());
      if (reports === undefined || !isConnected) return;
      guards.forEach((guard, other) => {
        if (other !== router) guard.onPeerReports(reports);
      });
    });
  }

  for (let router = 0; router < routerCount; router += 1) {
    const log = (): void => undefined;
    guards.push(
      createCrashGuard({
        clock,
        decisions: { routine: log, notable: log, vital: log, droppedCount: () => 0 },
        upstream: { isAccepting: () => Promise.resolve(false) },
        table: {
          list: () => Promise.resolve([]),
          put: () => Promise.resolve(true),
          remove: () => Promise.resolve(),
        },
        isElected: () => false,
        broadcastSoon: () => tellOthers(router),
        onCondemned: () => undefined,
      }),
    );
  }

  return {
    clock,
    guards,
    crashAt: async (router, request) => {
      crashes += 1;
      await guards[router]?.onBrokenAttempt({
        content: createContent(request, SHARED, asId<PromptPartId>(`session-${request}`), DEADLY),
        requestId: asId<RequestId>(request),
        isStream: true,
        serverId: asId(`e${crashes}`),
        address: `10.0.0.${crashes}:1`,
        failureDomain: asId<FailureDomain>(DOMAINS[crashes % DOMAINS.length] ?? ''),
      });
    },
    refusesSound: () =>
      guards.map((guard) => guard.findCondemned(createContent('sound', SHARED)) !== undefined),
    setConnected: (value) => {
      isConnected = value;
    },
  };
}
