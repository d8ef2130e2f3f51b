// A router that only does the work for other routers: membership, journal copies and load digests.
import { cac } from 'cac';
import {
  createEngineClient,
  loadHashFunctions,
  createHttpClient,
  createMetrics,
  createSystemClock,
} from '@mimosamill/adapters';
import { asAttemptNo, asId, toRequestId } from '@mimosamill/core';
import { createRandom } from '@mimosamill/fakes';
import {
  createLoadDigests,
  createMembershipService,
  createPeerServer,
  createPeerTraffic,
  createReplicas,
  REPLICA_DEFAULTS,
  PEER_SERVER_DEFAULTS,
} from '@mimosamill/router';
import { startLoad } from './load';
import type { RequestId } from '@mimosamill/core';
import type { NodeOptions } from './load';

const READ_TIMEOUT_MS = 500;

async function start(options: NodeOptions): Promise<void> {
  const { hash32 } = await loadHashFunctions();
  const clock = createSystemClock();
  const random = createRandom(Number(options.seed));
  const metrics = createMetrics();
  const traffic = createPeerTraffic(metrics.registry);
  const [host = '', port = ''] = options.peer.split(':');
  const peers = createMembershipService(
    {
      routerId: asId(options.id),
      address: options.peer,
      peerAddress: options.peer,
      region: asId(options.region),
      failureDomain: asId(options.domain),
      seeds: options.seeds.split(','),
    },
    {
      clock,
      hash: hash32,
      random,
      traffic,
      log: { info: (_, fields = {}) => print({ event: 'member', ...fields }) },
    },
  );
  const replicas = createReplicas(
    { ...REPLICA_DEFAULTS, flushIntervalMs: Number(options.flush) },
    {
      membership: peers,
      pool: peers.pool,
      clock,
      hash: hash32,
    },
  );
  const load = startLoad(options, {
    onStart: (streamName) => replicas.onStart(toStreamStart(options.id, streamName)),
    onToken: (streamName, index, text) =>
      replicas.onToken(toStreamStart(options.id, streamName).requestId, index, text),
    onEnd: (streamName) => replicas.onEnd(toStreamStart(options.id, streamName).requestId, 'stop'),
  });
  const digests = createLoadDigests({
    membership: peers,
    pool: peers.pool,
    clock,
    hash: hash32,
    random,
    engines: () => load.engines.map((engineId) => ({ engineId, region: asId(options.region) })),
    readLoad: options.loads === '' ? load.readLoad : createLoadReader(options.loads),
  });
  const server = createPeerServer(
    { host, port: Number(port), ...PEER_SERVER_DEFAULTS },
    { member: peers.router, replica: replicas.router, digest: digests.router },
    traffic,
  );
  await server.listen();
  peers.start();
  replicas.start();
  digests.start();
  load.report(() => {
    const { in: wireIn, out: wireOut } = traffic.wireBytes();
    return {
      wireIn,
      wireOut,
      states: countStates(peers.members().map(({ state }) => state)),
      loads: digests.loads().size,
      ...replicas.sizes(),
    };
  }, print);
  print({ event: 'ready' });
}

/** Reads loads over HTTP with the client that routers use for engines. */
function createLoadReader(address: string) {
  const engines = createEngineClient(createHttpClient(), {
    timeoutMs: READ_TIMEOUT_MS,
    orderTimeoutMs: READ_TIMEOUT_MS,
  });
  return async () => {
    const answer = await engines.readLoad(address);
    return answer.kind === 'ok' ? answer.value : undefined;
  };
}

function toStreamStart(router: string, streamName: string) {
  const requestId: RequestId = toRequestId(router, streamName);
  return {
    requestId,
    bodyHash: '0123456789abcdef',
    engineId: asId<never>('bench-guide-07'),
    engineAddress: '10.20.30.40:8000',
    version: asId<never>('2026-11-30'),
    attemptNo: asAttemptNo(1),
    takeoverCount: 0,
  };
}

function countStates(states: readonly string[]): Record<string, number> {
  return states.reduce<Record<string, number>>(
    (counts, state) => ({ ...counts, [state]: (counts[state] ?? 0) + 1 }),
    {},
  );
}

function print(line: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify({ ...line, atMs: Date.now() })}\n`);
}

const cli = cac('bench-node');
cli
  .command('', 'Run one router without callers')
  .option('--id <id>', 'Router id')
  .option('--peer <address>', 'Peer address')
  .option('--region <region>', 'Region')
  .option('--domain <domain>', 'Failure domain')
  .option('--seeds <addresses>', 'Peer addresses to try first')
  .option('--seed <number>', 'Seed of the random numbers')
  .option('--engines <number>', 'Engines of the region', { default: 0 })
  .option('--streams <number>', 'Running streams of this router', { default: 0 })
  .option('--customers <number>', 'Customers in the configuration', { default: 0 })
  .option('--loads <address>', 'Server of load reports', { default: '' })
  .option('--flush <ms>', 'Period of the replicas', { default: REPLICA_DEFAULTS.flushIntervalMs })
  .action((options: NodeOptions) => start(options));
cli.parse();
