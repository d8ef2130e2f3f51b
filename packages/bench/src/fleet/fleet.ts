import { createHttpClient } from '@mimosamill/adapters';
import { findFreePort } from '@mimosamill/fakes';
import { createRelay } from './relay';
import { startBinary } from './process';
import type { HttpClient } from '@mimosamill/adapters';
import type { FleetProcess } from './process';
import type { Relay } from './relay';

/** A process of the fleet and the address at which the other processes reach it. */
export interface FleetNode {
  readonly process: FleetProcess;
  readonly address: string;
  /** Bypasses the relay; the same as `address` without one. */
  readonly directAddress: string;
  readonly failureDomain: string;
  /** Address for messages from other routers; routers only. */
  readonly peerAddress?: string;
  /** TCP relay between the routers and this node, if the fleet has relays. */
  readonly relay: Relay | undefined;
}

export interface EngineSpec {
  readonly id: string;
  readonly service: string;
  readonly model: string;
  readonly versions: readonly string[];
  readonly failureDomain: string;
  readonly modelSettings?: object;
}

export interface RouterSpec {
  readonly id: string;
  readonly failureDomain: string;
  readonly settings?: object;
}

export interface FleetOptions {
  readonly region: string;
  readonly hostListLagMs: number;
  readonly weightsSizeBytes: number;
  readonly weightsBytesPerSec: number;
  /** Puts a TCP relay in front of every engine, which can cut it off like a network partition. */
  readonly hasRelays: boolean;
  readonly seed: number;
}

/** Real processes on loopback: fake platform and backend servers, and the system's own binaries. */
export interface Fleet {
  readonly platformAddress: string;
  readonly http: HttpClient;
  readonly startEngine: (spec: EngineSpec) => Promise<FleetNode>;
  readonly startService: (id: string, service: string, domain: string) => Promise<FleetNode>;
  readonly startRouter: (spec: RouterSpec) => Promise<FleetNode>;
  readonly startAdmin: (settings: object) => Promise<FleetNode>;
  readonly startController: (settings: object) => Promise<FleetNode>;
  /** Removes a host from the platform's host list, which still shows it for `hostListLagMs`. */
  readonly removeHost: (id: string) => Promise<void>;
  /** Sets the faults of the platform's tables and object store. */
  readonly setFaults: (faults: object) => Promise<void>;
  readonly post: (address: string, path: string, body: unknown) => Promise<unknown>;
  readonly get: (address: string, path: string) => Promise<unknown>;
  readonly routerPeers: () => readonly string[];
  /** Makes `stop` also end a process that was not started by the fleet. */
  readonly addProcess: (process: FleetProcess) => void;
  /** Waits until /readyz of every node reports ready. */
  readonly waitReady: (nodes: readonly FleetNode[]) => Promise<void>;
  readonly stop: () => Promise<void>;
}

export const FLEET_DEFAULTS: FleetOptions = {
  region: 'amman',
  hostListLagMs: 500,
  weightsSizeBytes: 1e9,
  weightsBytesPerSec: 1e9,
  hasRelays: false,
  seed: 1,
};

const LOOPBACK_IP = '127.0.0.1';
const REQUEST_TIMEOUT_MS = 5_000;
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 25;

export async function startFleet(overrides: Partial<FleetOptions> = {}): Promise<Fleet> {
  const options = { ...FLEET_DEFAULTS, ...overrides };
  const http = createHttpClient();
  const processes: FleetProcess[] = [];
  const relays: Relay[] = [];
  const routerPeers: string[] = [];

  const platformPort = await findFreePort();
  const platformAddress = `${LOOPBACK_IP}:${platformPort}`;
  await start('fake-platform', 'platform', {
    ip: LOOPBACK_IP,
    port: platformPort,
    seed: options.seed,
    hostListLagMs: options.hostListLagMs,
    weightsBytesPerSec: options.weightsBytesPerSec,
    weightsSizeBytes: options.weightsSizeBytes,
  });

  async function start(
    binary: Parameters<typeof startBinary>[0],
    name: string,
    settings: object,
  ): Promise<FleetProcess> {
    const started = await startBinary(binary, name, settings);
    processes.push(started);
    return started;
  }

  async function post(address: string, path: string, body: unknown): Promise<unknown> {
    const answer = await http.fetch(`http://${address}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    if (answer.kind !== 'ok') throw new Error(`POST ${path}: ${answer.message}`);
    return JSON.parse(answer.body);
  }

  async function get(address: string, path: string): Promise<unknown> {
    const url = `http://${address}${path}`;
    const answer = await http.fetch(url, { method: 'GET', timeoutMs: REQUEST_TIMEOUT_MS });
    if (answer.kind !== 'ok') throw new Error(`GET ${path}: ${answer.message}`);
    return JSON.parse(answer.body);
  }

  function addHost(
    hostId: string,
    role: 'router' | 'engine' | 'service',
    service: string,
    address: string,
    failureDomain: string,
  ): Promise<unknown> {
    const { region } = options;
    const host = { hostId, role, service, address, region, failureDomain, state: 'live' };
    return post(platformAddress, '/hosts', host);
  }

  async function createRelayFor(address: string): Promise<Relay | undefined> {
    if (!options.hasRelays) return undefined;
    const relay = await createRelay(address);
    relays.push(relay);
    return relay;
  }

  async function startEngine(spec: EngineSpec): Promise<FleetNode> {
    const port = await findFreePort();
    const loaded = spec.versions.map((version) => ({ model: spec.model, version, adapters: [] }));
    const engine = await start('fake-engine', spec.id, {
      engineId: spec.id,
      ip: LOOPBACK_IP,
      port,
      platform: platformAddress,
      seed: options.seed,
      loaded,
      model: spec.modelSettings ?? {},
    });
    const relay = await createRelayFor(`${LOOPBACK_IP}:${port}`);
    const directAddress = `${LOOPBACK_IP}:${port}`;
    const address = relay?.address ?? directAddress;
    await addHost(spec.id, 'engine', spec.service, address, spec.failureDomain);
    return { process: engine, address, directAddress, failureDomain: spec.failureDomain, relay };
  }

  async function startService(id: string, service: string, domain: string): Promise<FleetNode> {
    const port = await findFreePort();
    const server = await start('fake-service', id, { ip: LOOPBACK_IP, port, seed: options.seed });
    const address = `${LOOPBACK_IP}:${port}`;
    await addHost(id, 'service', service, address, domain);
    return {
      process: server,
      address,
      directAddress: address,
      failureDomain: domain,
      relay: undefined,
    };
  }

  async function startRouter(spec: RouterSpec): Promise<FleetNode> {
    const port = await findFreePort();
    const peerPort = await findFreePort();
    const peerAddress = `${LOOPBACK_IP}:${peerPort}`;
    const router = await start('router', spec.id, {
      routerId: spec.id,
      ip: LOOPBACK_IP,
      port,
      peerPort,
      region: options.region,
      failureDomain: spec.failureDomain,
      seeds: routerPeers.slice(0, 3),
      platform: platformAddress,
      platformTimeoutMs: 1_000,
      hostListPeriodMs: 500,
      ...spec.settings,
    });
    routerPeers.push(peerAddress);
    await addHost(spec.id, 'router', '', peerAddress, spec.failureDomain);
    const address = `${LOOPBACK_IP}:${port}`;
    return {
      process: router,
      address,
      directAddress: address,
      peerAddress,
      failureDomain: spec.failureDomain,
      relay: undefined,
    };
  }

  async function startControlProcess(
    binary: 'admin' | 'controller',
    settings: object,
  ): Promise<FleetNode> {
    const port = await findFreePort();
    const started = await start(binary, binary, { ip: LOOPBACK_IP, port, ...settings });
    const address = `${LOOPBACK_IP}:${port}`;
    return {
      process: started,
      address,
      directAddress: address,
      failureDomain: '',
      relay: undefined,
    };
  }

  async function waitReady(nodes: readonly FleetNode[]): Promise<void> {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    for (;;) {
      const states = await Promise.all(nodes.map(({ address }) => get(address, '/readyz')));
      if (states.every((state) => (state as { status: string }).status === 'ready')) return;
      if (performance.now() > endMs) throw new Error(`nodes not ready: ${JSON.stringify(states)}`);
      await new Promise((resolve) => {
        setTimeout(resolve, READY_POLL_MS);
      });
    }
  }

  async function stop(): Promise<void> {
    // A process paused with SIGSTOP does not handle a signal until it continues.
    processes.forEach((running) => running.resume());
    await Promise.all(processes.map((running) => running.kill()));
    await Promise.all(relays.map((relay) => relay.close()));
    await http.close();
  }

  return {
    platformAddress,
    http,
    startEngine,
    startService,
    startRouter,
    startAdmin: (settings) => startControlProcess('admin', settings),
    startController: (settings) => startControlProcess('controller', settings),
    removeHost: async (id) => {
      const url = `http://${platformAddress}/hosts/${id}`;
      await http.fetch(url, { method: 'DELETE', timeoutMs: REQUEST_TIMEOUT_MS });
    },
    setFaults: async (faults) => {
      await post(platformAddress, '/faults', faults);
    },
    post,
    get,
    routerPeers: () => routerPeers,
    addProcess: (other) => {
      processes.push(other);
    },
    waitReady,
    stop,
  };
}
