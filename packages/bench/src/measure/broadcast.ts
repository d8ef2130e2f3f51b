import {
  asId,
  createCallOutcomeTracker,
  createFleet,
  createPeerRegistry,
  createPlacer,
} from '@mimosamill/core';
import { loadHashFunctions, openDatagramSocket } from '@mimosamill/adapters';
import { createRetryBudgets, createStateBroadcast } from '@mimosamill/router';
import { createRandom, intBelow } from './random';
import { quantileOf, round } from './stats';
import type { Clock, DatagramSocket } from '@mimosamill/adapters';
import type { ForwardServer, Placer, ServerId, ServiceName } from '@mimosamill/core';
import type { StateBroadcast } from '@mimosamill/router';
import type { Measurement } from './measurement';

/** Numbers of other routers and of engines, from a small deployment to the design size. */
const SIZES = [
  { peers: 9, engines: 17 },
  { peers: 61, engines: 126 },
  { peers: 195, engines: 174 },
  { peers: 340, engines: 174 },
] as const;
const DOMAINS = ['a', 'b', 'c'];
const SERVICE = asId<ServiceName>('guide');
/** Streams that an engine runs at a time, over all routers. */
const STREAMS_PER_ENGINE = 4;
const PROMPT_TOKENS = 5_000;
const CAPACITY = { slots: 16, memoryTokens: 55_000, hasBackups: true, copyLifeMs: 4_000 };
const MESSAGES = 6_000;
const MESSAGES_FULL = 60_000;
const PLACEMENTS = 400;
const PLACEMENTS_FULL = 4_000;
const SENDS = 100;
const SENDS_FULL = 1_000;
const STEP_MS = 1;
const LOOPBACK = '127.0.0.1';

interface MeasuredRouter {
  readonly broadcast: StateBroadcast;
  readonly placer: Placer;
  /** Starts a stream of this router on an engine, if it has few, and tells the other routers. */
  readonly tell: (serverNo: number) => void;
}

/** Processor time of the state that routers tell each other, by the number of routers and engines. */
export const broadcastMeasurement: Measurement = {
  name: 'broadcast',
  summary: 'cost of a message between routers and of a placement, by routers and engines',
  run: async ({ seed, isFull }) => {
    const sizes = [];
    for (const size of SIZES) sizes.push(await measureSize(size, seed, isFull));
    return { sizes };
  },
};

async function measureSize(
  { peers, engines }: (typeof SIZES)[number],
  seed: number,
  isFull: boolean,
): Promise<Readonly<Record<string, number>>> {
  const { hash32 } = await loadHashFunctions();
  const random = createRandom(seed);
  let nowMs = 0;
  const monotonicMs = (): number => nowMs;
  const servers = Array.from({ length: engines }, (_, no) => engineOf(no));
  const received: Buffer[] = [];
  const own = createRouter('self', servers, monotonicMs, hash32, undefined, peers);
  const load = Math.ceil((engines * STREAMS_PER_ENGINE) / peers);
  const messages = Array.from({ length: peers }, (_, peerNo) => {
    const socket: DatagramSocket = {
      send: (_address, bytes) => received.push(Buffer.from(bytes)),
      close: () => undefined,
    };
    const router = createRouter(`host-${peerNo}`, servers, monotonicMs, hash32, socket, 1);
    const serverNos = Array.from({ length: load }, () => intBelow(engines, random));
    return { router, serverNos };
  });
  // Each peer tells of its streams several times, so that updates replace earlier ones.
  const count = isFull ? MESSAGES_FULL : MESSAGES;
  for (let no = 0; no < count; no += 1) {
    const message = messages[no % peers];
    const serverNo = message?.serverNos[Math.floor(no / peers) % load] ?? 0;
    message?.router.tell(serverNo);
  }
  const receiveBegin = process.cpuUsage();
  received.forEach((bytes) => {
    nowMs += STEP_MS;
    own.broadcast.onMessage(bytes, '10.0.0.1:1');
  });
  const receiveUs = cpuUsSince(receiveBegin) / received.length;
  const sizes = received.map(({ length }) => length);
  const placements = isFull ? PLACEMENTS_FULL : PLACEMENTS;
  const placeBegin = process.cpuUsage();
  for (let no = 0; no < placements; no += 1) {
    nowMs += STEP_MS;
    place(own.placer, nowMs, random);
  }
  const placeUs = cpuUsSince(placeBegin) / placements;
  return {
    peers,
    engines,
    message_bytes_p50: quantileOf(sizes, 0.5),
    receive_us_per_message: round(receiveUs, 1),
    place_us_per_stream: round(placeUs, 1),
    send_us_per_datagram: round(await measureSends(peers, servers, monotonicMs, hash32, isFull), 1),
  };
}

/** Sends to sockets of this process, whose receiving is not counted. */
async function measureSends(
  peers: number,
  servers: readonly ForwardServer[],
  monotonicMs: () => number,
  hash32: (text: string, seed?: number) => number,
  isFull: boolean,
): Promise<number> {
  const socket = await openDatagramSocket(LOOPBACK, 0, () => undefined);
  const router = createRouter('sender', servers, monotonicMs, hash32, socket, peers);
  const sends = isFull ? SENDS_FULL : SENDS;
  const before = process.cpuUsage();
  for (let no = 0; no < sends; no += 1) {
    router.tell(no % servers.length);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  const sendsUs = cpuUsSince(before);
  socket.close();
  return sendsUs / (sends * peers);
}

function cpuUsSince(before: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

function place(placer: Placer, nowMs: number, random: () => number): void {
  placer.placeStream(
    {
      service: SERVICE,
      capacity: CAPACITY,
      promptTokens: PROMPT_TOKENS,
      excluded: new Set(),
      excludedCopyHolders: new Set(),
      limitDraw: 0,
    },
    nowMs,
    random,
  );
}

function createRouter(
  name: string,
  servers: readonly ForwardServer[],
  monotonicMs: () => number,
  hash32: (text: string, seed?: number) => number,
  socket: DatagramSocket | undefined,
  peerCount: number,
): MeasuredRouter {
  const fleet = createFleet();
  fleet.setServers(servers, monotonicMs());
  let runTimer = (): void => undefined;
  const clock: Clock = {
    nowMs: monotonicMs,
    monotonicMs,
    runAfter: (_, fn) => {
      runTimer = fn;
      return () => undefined;
    },
    runEvery: () => () => undefined,
  };
  const peerRegistry = createPeerRegistry();
  const addresses = Array.from({ length: peerCount }, (_, no) => `${LOOPBACK}:${20_000 + no}`);
  const broadcast = createStateBroadcast(
    {
      hostId: asId(name),
      failureDomain: asId('a'),
      incarnationId: `${name}-1`,
      linkMbps: undefined,
    },
    {
      clock,
      decisions: {
        routine: () => undefined,
        notable: () => undefined,
        vital: () => undefined,
        droppedCount: () => 0,
      },
      fleet,
      peerRegistry,
      callOutcomes: createCallOutcomeTracker(fleet.outlierDetector),
      retryBudgets: createRetryBudgets(
        { ratio: 1, slack: 1 },
        clock,
        () => 0,
        () => ({ known: peerCount + 1, heard: peerCount + 1 }),
      ),
      peers: { addresses: () => addresses, onMessageFrom: () => undefined },
      datagrams: () => socket,
      onDomainSuspected: () => undefined,
      onServerLost: () => undefined,
      prefillMsPerToken: () => 0.2,
      canReadStore: () => true,
      ownMoves: () => [],
      ownCrashReports: () => ({ crashes: [], answers: [], condemned: [] }),
      onCrashReports: () => undefined,
    },
  );
  let requestNo = 0;
  return {
    broadcast,
    placer: createPlacer(fleet, peerRegistry, asId(name), hash32),
    tell: (serverNo) => {
      const serverId = servers[serverNo]?.serverId ?? asId<ServerId>('');
      requestNo += 1;
      if (requestNo <= STREAMS_PER_ENGINE) {
        fleet.onSent(serverId, asId(`${name}/${requestNo}`), PROMPT_TOKENS, monotonicMs());
        fleet.onCopy(serverId, PROMPT_TOKENS, 1);
      }
      // Runs the timer of the batch delay, which was set last.
      broadcast.sendSoon();
      runTimer();
    },
  };
}

function engineOf(no: number): ForwardServer {
  return {
    serverId: asId(`engine-${no}`),
    service: SERVICE,
    address: `10.0.0.1:${8_000 + no}`,
    failureDomain: asId(DOMAINS[no % DOMAINS.length] ?? ''),
    version: 'v1',
    slots: CAPACITY.slots,
    isLeaving: false,
    startedAtMs: 1,
  };
}
