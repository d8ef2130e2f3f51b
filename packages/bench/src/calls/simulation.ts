import { createHash } from 'node:crypto';
import { createRandom, createVirtualTime } from '@mimosamill/fakes';
import { asId, createRetryBudget, RETRY_BUDGET_DEFAULTS } from '@mimosamill/core';
import { createCalls, createOwnerClient } from '@mimosamill/router';
import { planFaultWindows } from './faults';
import { createSimulatedServers } from './servers';
import { createSimulatedTables } from './tables';
import type { StoredRun, VirtualProcess } from '@mimosamill/fakes';
import type { CallResult, CustomerId, RouterId, ServiceName } from '@mimosamill/core';
import type { Calls } from '@mimosamill/router';
import type { CallFault, FaultWindow } from './faults';

export interface CallSimulationOptions {
  readonly seed: number;
  readonly faults: readonly CallFault[];
  readonly bookings: number;
  /** False for the baseline, in which calls are retried without a claim in the tables. */
  readonly isClaiming: boolean;
}

/** A request of a caller and its outcome. */
export interface SentRequest {
  readonly booking: number;
  readonly service: ServiceName;
  readonly body: string;
  readonly traceparent: string;
  readonly sentAtMs: number;
  readonly deadlineMs: number;
  outcome: CallResult | 'reset' | 'refused' | undefined;
  answeredAtMs: number;
  /** Time for which the router was paused while it processed the request. */
  pausedMs: number;
}

export interface CallSimulation {
  readonly run: () => Promise<void>;
  readonly requests: readonly SentRequest[];
  /** By booking, the result of a lookup after all faults have ended. */
  readonly finalLookups: ReadonlyMap<number, CallResult>;
  readonly storedRunOf: (booking: number) => StoredRun | undefined;
  readonly runs: () => readonly StoredRun[];
  readonly hasRun: (request: SentRequest) => boolean;
  /** Rows written and reads made for the bookings, excluding the final lookups. */
  readonly tableWrites: () => number;
  readonly tableReads: () => number;
}

interface SimulatedRouter {
  readonly routerId: RouterId;
  process: VirtualProcess;
  calls: Calls;
  readonly onKilled: Set<() => void>;
}

const ROUTERS = 3;
const SERVERS = 3;
const LAST_ARRIVAL_MS = 12_000;
const FAULTS_END_MS = 16_000;
const RETRIES_END_MS = 100_000;
const END_MS = 200_000;
const DEADLINE_MS = 3_000;
const MAX_SENDS = 8;
const CUSTOMER = asId<CustomerId>('lackner');
/** The first service supports lookups, the second does not. */
const SERVICES = [asId<ServiceName>('werkbuch'), asId<ServiceName>('guild-shop')] as const;

/** Simulates three routers, three servers of each of two services, the tables and the callers. */
export function createCallSimulation(options: CallSimulationOptions): CallSimulation {
  const random = createRandom(options.seed);
  const time = createVirtualTime();
  const windows = planFaultWindows(options.faults, LAST_ARRIVAL_MS, random);
  const requests: SentRequest[] = [];
  const finalLookups = new Map<number, CallResult>();
  let ids = 0;
  let counts = { writes: 0, reads: 0 };

  const isActive = (fault: CallFault): boolean => {
    const nowMs = time.clock.monotonicMs();
    return windows.some((w) => w.fault === fault && w.startMs <= nowMs && nowMs < w.endMs);
  };
  const tables = createSimulatedTables(
    time,
    {
      isDown: () => isActive('tables_outage'),
      isSlow: () => isActive('tables_slow'),
      isLosingAnswers: () => isActive('commit_answer_lost'),
    },
    random,
  );
  const fleets = new Map(SERVICES.map((service) => [service, createServers(service)]));
  const routers = Array.from({ length: ROUTERS }, (_, index) => createRouter(`r${index}`));

  function createServers(service: ServiceName): ReturnType<typeof createSimulatedServers> {
    const addresses = Array.from({ length: SERVERS }, (_, index) => `${service}:${index}`);
    return createSimulatedServers(
      time,
      addresses,
      {
        isResetting: () => isActive('connection_reset'),
        isLateOrCrossed: () => isActive('answers_late_or_crossed'),
      },
      random,
    );
  }

  function fleetOf(service: string): ReturnType<typeof createSimulatedServers> {
    const fleet = fleets.get(asId<ServiceName>(service));
    if (fleet === undefined) throw new Error(`unknown service ${service}`);
    return fleet;
  }

  function createRouter(name: string): SimulatedRouter {
    const process = time.createProcess();
    const routerId = asId<RouterId>(name);
    return { routerId, process, calls: createRouterCalls(routerId, process), onKilled: new Set() };
  }

  function createRouterCalls(routerId: RouterId, process: VirtualProcess): Calls {
    // A router may be paused between its last check of the deadline and the sending of the request.
    const sendDelayMs = (): number =>
      isActive('router_paused') && random() < 0.2 ? random() * 5_000 : 0;
    return createCalls({
      routerId,
      clock: process.clock,
      tables: tables.clientOf(process),
      services: {
        call: (address, call, signal) =>
          clientOf(address, process, sendDelayMs).call(address, call, signal),
        lookup: (address, key) => clientOf(address, process, sendDelayMs).lookup(address, key),
        readLoad: async () => undefined,
      },
      servers: {
        pick: (service, excluded) => {
          const left = fleetOf(service).addresses.filter((address) => !excluded.has(address));
          return left[Math.floor(random() * left.length)];
        },
        onRefused: () => undefined,
        onResult: () => undefined,
      },
      owners: createOwnerClient(
        (id) => id,
        (address, question) => process.receiveResult(askPeer(address, question)),
      ),
      retryBudget: createRetryBudget(RETRY_BUDGET_DEFAULTS),
      serviceConfig: (name) => ({
        kind: 'plain',
        name,
        team: asId('team'),
        operations: { book: { idempotent: !options.isClaiming } },
        hasLookup: name === SERVICES[0],
      }),
      createId: () => {
        ids += 1;
        return `id-${ids}`;
      },
      hashBody: (text) => createHash('sha256').update(text).digest('hex'),
    });
  }

  function clientOf(
    address: string,
    process: VirtualProcess,
    sendDelayMs: () => number,
  ): ReturnType<ReturnType<typeof createSimulatedServers>['clientOf']> {
    return fleetOf(address.split(':')[0] ?? '').clientOf(process, sendDelayMs);
  }

  function askPeer(
    address: string,
    question: Parameters<Calls['answerAsOwner']>[0],
  ): ReturnType<Calls['answerAsOwner']> {
    return new Promise((resolve, reject) => {
      const host = routers.find(({ routerId }) => routerId === address);
      time.clock.runAfter(networkDelayMs(), () => {
        if (host === undefined || !host.process.isAlive()) {
          reject(new Error('connection refused'));
          return;
        }
        const { process, calls } = host;
        process.deliver(() => {
          void calls.answerAsOwner(question).then((answer) => {
            time.clock.runAfter(networkDelayMs(), () => resolve(answer));
          });
        });
      });
    });
  }

  function networkDelayMs(): number {
    return 0.5 + random();
  }

  function killRouter(host: SimulatedRouter, forMs: number): void {
    if (!host.process.isAlive()) return;
    host.process.kill();
    [...host.onKilled].forEach((fn) => fn());
    host.onKilled.clear();
    time.clock.runAfter(forMs, () => {
      // The restarted router keeps its id and loses its memory.
      host.process = time.createProcess();
      host.calls = createRouterCalls(host.routerId, host.process);
    });
  }

  function pickRandom<T>(items: readonly T[]): T {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) throw new Error('cannot pick from an empty list');
    return item;
  }

  function startFault(window: FaultWindow): void {
    const lengthMs = window.endMs - window.startMs;
    switch (window.fault) {
      case 'router_killed':
        killRouter(pickRandom(routers), lengthMs);
        return;
      case 'router_paused':
        pickRandom(routers).process.pause(lengthMs * 1.5);
        return;
      case 'server_killed':
        fleets.forEach((fleet) => fleet.kill(pickRandom(fleet.addresses), lengthMs));
        return;
      case 'server_paused':
        fleets.forEach((fleet) => fleet.pause(pickRandom(fleet.addresses), lengthMs * 1.5));
        break;
      default:
      // The other faults have no start event: clients and servers query them with isActive.
    }
  }

  /** Sends a request through a router; resolves when the caller has an answer or a lost connection. */
  function send(booking: number, body: string, host: SimulatedRouter): Promise<SentRequest> {
    ids += 1;
    const request: SentRequest = {
      booking,
      service: serviceOf(booking),
      body,
      traceparent: `00-${String(ids).padStart(32, '0')}-0000000000000001-01`,
      sentAtMs: time.clock.monotonicMs(),
      deadlineMs: DEADLINE_MS,
      outcome: undefined,
      answeredAtMs: Infinity,
      pausedMs: 0,
    };
    requests.push(request);
    return new Promise((resolve) => {
      const settle = (outcome: SentRequest['outcome']): void => {
        if (request.outcome !== undefined) return;
        request.outcome = outcome;
        request.answeredAtMs = time.clock.monotonicMs();
        resolve(request);
      };
      time.clock.runAfter(callerNetworkDelayMs(), () => arrive(request, host, settle));
    });
  }

  function arrive(
    request: SentRequest,
    host: SimulatedRouter,
    settle: (outcome: SentRequest['outcome']) => void,
  ): void {
    const { process, calls } = host;
    if (!process.isAlive()) {
      settle('refused');
      return;
    }
    const pausedBeforeMs = process.pausedMs();
    const onKilled = (): void => settle('reset');
    host.onKilled.add(onKilled);
    process.deliver(() => {
      void calls
        .run({
          service: request.service,
          operation: 'book',
          key: keyOf(request.booking),
          body: request.body,
          customerId: CUSTOMER,
          deadlineMs: request.deadlineMs,
          traceparent: request.traceparent,
        })
        .then((result) => {
          if (!process.isAlive()) return;
          host.onKilled.delete(onKilled);
          request.pausedMs = process.pausedMs() - pausedBeforeMs;
          time.clock.runAfter(callerNetworkDelayMs(), () => settle(result));
        });
    });
  }

  function callerNetworkDelayMs(): number {
    return 2 + random() * 5;
  }

  function wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      time.clock.runAfter(delayMs, resolve);
    });
  }

  /** Sends a booking like a caller: with the same key through any router until it has the answer. */
  async function book(booking: number): Promise<void> {
    const body = JSON.stringify({ slot: booking });
    for (let sends = 0; sends < MAX_SENDS; sends += 1) {
      if (isActive('caller_resends')) void resendAtOnce(booking, body);
      const { outcome } = await send(booking, body, pickRandom(routers));
      const isKnown = typeof outcome === 'object' && outcome.kind === 'ok';
      if (isKnown) return;
      await wait(200 + random() * 1_000);
    }
  }

  /** Resends before the first answer; one in ten times with another body under the same key. */
  async function resendAtOnce(booking: number, body: string): Promise<void> {
    await wait(random() * 150);
    const hasOtherBody = random() < 0.1;
    const sentBody = hasOtherBody ? JSON.stringify({ slot: booking, other: true }) : body;
    await send(booking, sentBody, pickRandom(routers));
  }

  async function lookUpAll(): Promise<void> {
    for (let booking = 0; booking < options.bookings; booking += 1) {
      const { calls } = pickRandom(routers);
      finalLookups.set(booking, await calls.lookup(CUSTOMER, serviceOf(booking), keyOf(booking)));
    }
  }

  /** Half of the bookings arrive up to 70 ms before a fault starts, so that it hits running calls. */
  function arrivalMs(): number {
    if (windows.length === 0 || random() < 0.5) return random() * LAST_ARRIVAL_MS;
    return Math.max(0, pickRandom(windows).startMs - random() * 70);
  }

  async function run(): Promise<void> {
    windows.forEach((window) => {
      time.clock.runAfter(window.startMs, () => startFault(window));
    });
    for (let booking = 0; booking < options.bookings; booking += 1) {
      time.clock.runAfter(arrivalMs(), () => {
        void book(booking);
      });
    }
    await time.run(FAULTS_END_MS);
    await time.run(RETRIES_END_MS);
    counts = { writes: tables.writes(), reads: tables.reads() };
    if (options.isClaiming) void lookUpAll();
    await time.run(END_MS);
  }

  return {
    run,
    requests,
    finalLookups,
    storedRunOf: (booking) => fleetOf(serviceOf(booking)).findRun(serviceKeyOf(booking)),
    runs: () => [...fleets.values()].flatMap((fleet) => fleet.runs()),
    hasRun: ({ service, traceparent }) => fleetOf(service).hasRun(traceparent),
    tableWrites: () => counts.writes,
    tableReads: () => counts.reads,
  };
}

export function keyOf(booking: number): string {
  return `booking-${booking}`;
}

function serviceKeyOf(booking: number): string {
  return `${CUSTOMER}/${keyOf(booking)}`;
}

/** Bookings alternate between the service with lookups and the one without. */
export function serviceOf(booking: number): ServiceName {
  return booking % 2 === 0 ? SERVICES[0] : SERVICES[1];
}

export function hasLookup(booking: number): boolean {
  return booking % 2 === 0;
}
