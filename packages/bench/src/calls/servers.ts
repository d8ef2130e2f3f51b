import { createServiceModel } from '@mimosamill/fakes';
import type {
  ServiceCallOutcome,
  ServiceCall,
  ServiceClient,
  ServiceLookupOutcome,
} from '@mimosamill/adapters';
import type { ServiceModel, StoredRun, VirtualProcess, VirtualTime } from '@mimosamill/fakes';

/** An answer on a connection; a faulty server may send it on the connection of another request. */
interface ReceivedAnswer {
  readonly requestId: string;
  readonly attemptNo: number;
  readonly body: string;
}

/** One request on one connection. */
interface Exchange {
  readonly onAnswer: (wire: ReceivedAnswer) => void;
  readonly onReset: () => void;
}

interface Server {
  readonly address: string;
  process: VirtualProcess;
  model: ServiceModel;
  readonly openExchanges: Set<Exchange>;
}

/** Simulated servers of one plain service with a shared store of runs. */
export interface SimulatedServers {
  readonly addresses: readonly string[];
  readonly kill: (address: string, forMs: number) => void;
  readonly pause: (address: string, forMs: number) => void;
  /** Client for a router; `sendDelayMs` is added to the network delay of each request. */
  readonly clientOf: (router: VirtualProcess, sendDelayMs: () => number) => ServiceClient;
  readonly findRun: (key: string) => StoredRun | undefined;
  readonly runs: () => readonly StoredRun[];
  readonly hasRun: (traceparent: string) => boolean;
}

export interface ServerFaults {
  readonly isResetting: () => boolean;
  readonly isLateOrCrossed: () => boolean;
}

const NETWORK_DELAY_MS = 1;
const MAX_EXTRA_RUN_MS = 40;
const MAX_ANSWER_DELAY_MS = 6_000;

export function createSimulatedServers(
  time: VirtualTime,
  addresses: readonly string[],
  faults: ServerFaults,
  random: () => number,
): SimulatedServers {
  const stored = new Map<string, StoredRun>();
  const ranTraceparents = new Set<string>();
  const servers = new Map<string, Server>(
    addresses.map((address) => [
      address,
      {
        address,
        process: time.createProcess(),
        model: createServiceModel(stored),
        openExchanges: new Set<Exchange>(),
      },
    ]),
  );

  function networkDelayMs(): number {
    return NETWORK_DELAY_MS * (0.5 + random());
  }

  function serve(server: Server, request: ServiceCall, exchange: Exchange): void {
    const { process } = server;
    server.openExchanges.add(exchange);
    const isReset = faults.isResetting() && random() < 0.4;
    // Half of the resets happen before the server has read the request.
    if (isReset && random() < 0.5) {
      reset(server, exchange);
      return;
    }
    process.deliver(() => {
      process.clock.runAfter(5 + random() * MAX_EXTRA_RUN_MS, () => {
        const outcome = server.model.run(request.operation, request.idempotencyKey, request.body);
        if (outcome.kind === 'refused') return;
        ranTraceparents.add(request.traceparent ?? '');
        if (isReset) reset(server, exchange);
        else answer(server, request, exchange, outcome.body);
      });
    });
  }

  function reset(server: Server, exchange: Exchange): void {
    server.openExchanges.delete(exchange);
    time.clock.runAfter(networkDelayMs(), exchange.onReset);
  }

  function answer(server: Server, request: ServiceCall, exchange: Exchange, body: string): void {
    const wire: ReceivedAnswer = {
      requestId: request.requestId,
      attemptNo: request.attemptNo,
      body,
    };
    const isFaulty = faults.isLateOrCrossed();
    const delayMs = isFaulty && random() < 0.5 ? random() * MAX_ANSWER_DELAY_MS : 0;
    const others = [...server.openExchanges].filter((other) => other !== exchange);
    const other = others[Math.floor(random() * others.length)];
    const target = isFaulty && random() < 0.5 && other !== undefined ? other : exchange;
    time.clock.runAfter(delayMs + networkDelayMs(), () => {
      if (!server.openExchanges.delete(target)) return;
      target.onAnswer(wire);
    });
  }

  function call(
    router: VirtualProcess,
    address: string,
    request: ServiceCall,
    sendDelayMs: number,
    signal: AbortSignal | undefined,
  ): Promise<ServiceCallOutcome> {
    return new Promise((resolve) => {
      const server = servers.get(address);
      const unknown = (message: string): void => resolve({ kind: 'unknown', message });
      const exchange: Exchange = {
        onAnswer: (wire) => resolve(toAnswer(request, wire)),
        onReset: () => unknown('reset'),
      };
      signal?.addEventListener('abort', () => unknown('aborted'));
      router.clock.runAfter(request.timeoutMs, () => unknown('no answer within the time-out'));
      time.clock.runAfter(networkDelayMs() + sendDelayMs, () => {
        if (server === undefined || !server.process.isAlive()) {
          resolve({ kind: 'not_sent', isLeaving: false, message: 'connection refused' });
          return;
        }
        serve(server, request, exchange);
      });
    });
  }

  function lookup(address: string, key: string): Promise<ServiceLookupOutcome> {
    return new Promise((resolve) => {
      const process = servers.get(address)?.process;
      time.clock.runAfter(networkDelayMs(), () => {
        if (process === undefined || !process.isAlive()) {
          resolve({ kind: 'unavailable', message: 'connection refused' });
          return;
        }
        process.deliver(() => {
          const run = stored.get(key);
          const found: ServiceLookupOutcome =
            run === undefined
              ? { kind: 'not_seen' }
              : { kind: 'ran', status: 200, body: run.answer };
          time.clock.runAfter(networkDelayMs(), () => resolve(found));
        });
      });
    });
  }

  return {
    addresses,
    kill: (address, forMs) => {
      const server = servers.get(address);
      if (server === undefined || !server.process.isAlive()) return;
      server.process.kill();
      [...server.openExchanges].forEach((exchange) => reset(server, exchange));
      time.clock.runAfter(forMs, () => {
        server.process = time.createProcess();
        server.model = createServiceModel(stored);
      });
    },
    pause: (address, forMs) => servers.get(address)?.process.pause(forMs),
    clientOf: (router, sendDelayMs) => ({
      call: (address, request, signal) =>
        router.receiveResult(call(router, address, request, sendDelayMs(), signal)),
      lookup: (address, key) => router.receiveResult(lookup(address, key)),
      readLoad: async () => undefined,
    }),
    findRun: (key) => stored.get(key),
    runs: () => [...stored.values()],
    hasRun: (traceparent) => ranTraceparents.has(traceparent),
  };
}

/** Like the HTTP client, accepts an answer only if it echoes the request's id and attempt number. */
function toAnswer(request: ServiceCall, wire: ReceivedAnswer): ServiceCallOutcome {
  const isOwn = wire.requestId === request.requestId && wire.attemptNo === request.attemptNo;
  return isOwn
    ? { kind: 'ok', status: 200, body: wire.body }
    : { kind: 'unknown', message: 'the answer belongs to another request' };
}
