import {
  createConfigReader,
  createConfigStore,
  createLog,
  createMetrics,
} from '@mimosamill/adapters';
import { asId, EMPTY_CONFIG } from '@mimosamill/core';
import {
  createFakeObjectStore,
  createFakeTableStore,
  createRandom,
  createTableStoreModel,
  createVirtualTime,
  NO_FAULTS,
} from '@mimosamill/fakes';
import { createConfigFeed, createConfigPeers, createConfigRouter } from '../src/index';
import type { ConfigStore, ObjectStore, TableStore } from '@mimosamill/adapters';
import type {
  FailureDomain,
  FleetConfig,
  OperationId,
  Region,
  RouterId,
  TeamId,
} from '@mimosamill/core';
import type { StoreFaults, VirtualProcess } from '@mimosamill/fakes';
import type { ConfigClientFactory, ConfigFeed, Member } from '../src/index';

export interface FeedProcess {
  readonly member: Member;
  readonly feed: ConfigFeed;
  readonly process: VirtualProcess;
  /** Revisions in the order in which they came into force. */
  readonly appliedRevisions: number[];
}

export interface FeedCluster {
  readonly run: (forMs: number) => Promise<void>;
  readonly store: ConfigStore;
  readonly setFaults: (faults: Partial<StoreFaults>) => void;
  /** Part of the messages between routers that get lost. */
  readonly setLossRatio: (ratio: number) => void;
  /** Drops what is sent to the node, as if it were thought dead; undefined ends this. */
  readonly isolate: (index: number | undefined) => void;
  readonly node: (index: number) => FeedProcess;
  readonly nodes: () => readonly FeedProcess[];
  /** Starts a node, or a new process in the place of one. */
  readonly start: (index: number) => void;
  /** Commits the next change; true if it was accepted. */
  readonly commitChange: () => Promise<boolean>;
  readonly acceptedRevision: () => number;
  /** Reads of the tables so far. */
  readonly tableReads: () => number;
}

const DOMAIN_COUNT = 2;
const LATENCY_MS = 2;
const CALL_TIMEOUT_MS = 2_000;
const GOSSIP_INTERVAL_MS = 1_000;

/** Some feeds on virtual time, with lossy messages between them. */
export function createFeedCluster(nodeCount: number, seed: number): FeedCluster {
  const time = createVirtualTime();
  const random = createRandom(seed);
  const tablesModel = createTableStoreModel();
  let faults: StoreFaults = NO_FAULTS;
  let lossRatio = 0;
  let cutOffIndex: number | undefined;
  let runUntilMs = 0;
  let config: FleetConfig = EMPTY_CONFIG;
  let operations = 0;
  const tables = createFakeTableStore(tablesModel, time.clock, () => faults, random);
  const objects = createFakeObjectStore(time.clock, () => faults, random);
  const store = createConfigStore(tables, objects, time.clock);
  const nodes: FeedProcess[] = [];

  function toMember(index: number): Member {
    return {
      routerId: asId<RouterId>(`r${index}`),
      address: `10.0.0.${index}:1`,
      peerAddress: `10.0.0.${index}:2`,
      region: asId<Region>('region'),
      failureDomain: asId<FailureDomain>(`domain-${index % DOMAIN_COUNT}`),
      state: 'alive',
      incarnation: 1,
    };
  }

  /** Sends a request through the network; it fails after a timeout if any part gets lost. */
  function send<T>(from: VirtualProcess, to: string, answer: (node: FeedProcess) => Promise<T>) {
    return from.receiveResult(
      new Promise<T>((resolve, reject) => {
        time.clock.runAfter(CALL_TIMEOUT_MS, () => reject(new Error('timeout')));
        const target = nodes.find(({ member }) => member.peerAddress === to);
        if (target === undefined || random() < lossRatio) return;
        if (target === nodes[cutOffIndex ?? -1]) return;
        time.clock.runAfter(LATENCY_MS, () =>
          target.process.deliver(() => {
            answer(target).then((value) => {
              if (random() < lossRatio) return;
              time.clock.runAfter(LATENCY_MS, () => resolve(value));
            }, reject);
          }),
        );
      }),
    );
  }

  function clientsOf(process: VirtualProcess): ConfigClientFactory {
    return (address) => {
      const caller = (node: FeedProcess) =>
        createConfigRouter(node.feed.handler).createCaller({ remoteAddress: '' });
      const copy = (value: unknown): never => JSON.parse(JSON.stringify(value)) as never;
      return {
        tail: {
          query: (input: unknown) => send(process, address, (n) => caller(n).tail(copy(input))),
        },
        snapshot: {
          query: (input: unknown) => send(process, address, (n) => caller(n).snapshot(copy(input))),
        },
        push: {
          mutate: (input: unknown) => send(process, address, (n) => caller(n).push(copy(input))),
        },
      } as never;
    };
  }

  function storeOf(process: VirtualProcess): { tables: TableStore; objects: ObjectStore } {
    return {
      tables: {
        read: (keys) => process.receiveResult(tables.read(keys)),
        scan: (prefix, after, limit) => process.receiveResult(tables.scan(prefix, after, limit)),
        commit: (transaction) => process.receiveResult(tables.commit(transaction)),
      },
      objects: {
        get: (name) => process.receiveResult(objects.get(name)),
        put: (name, body) => process.receiveResult(objects.put(name, body)),
        list: (prefix) => process.receiveResult(objects.list(prefix)),
      },
    };
  }

  function start(index: number): void {
    nodes[index]?.process.kill();
    const process = time.createProcess();
    const member = toMember(index);
    const reads = storeOf(process);
    const feed = createConfigFeed({
      store: createConfigReader(reads.tables, reads.objects),
      peers: createConfigPeers(clientsOf(process)),
      membership: {
        self: () => member,
        members: () => nodes.map((node) => node.member),
        onChange: () => undefined,
      },
      clock: process.clock,
      hash: hashText,
      random,
      log: createLog('test', 'silent'),
      metrics: createMetrics(),
      settings: { pollIntervalMs: 500, maxRecentRevisions: 5 },
    });
    const appliedRevisions: number[] = [];
    feed.onChange(({ revision }) => appliedRevisions.push(revision));
    nodes[index] = { member, feed, process, appliedRevisions };
    feed.start();
  }

  /** Every membership message carries the sender's revision. */
  function gossip(): void {
    nodes.forEach(({ feed, member, process }) => {
      const other = nodes[Math.floor(random() * nodes.length)];
      if (process.isPaused() || other === undefined || random() < lossRatio) return;
      if (other === nodes[cutOffIndex ?? -1]) return;
      other.process.deliver(() => other.feed.notePeerRevision(feed.revision(), member.peerAddress));
    });
  }

  Array.from({ length: nodeCount }, (_, index) => start(index));
  time.clock.runEvery(GOSSIP_INTERVAL_MS, gossip);

  async function commitChange(): Promise<boolean> {
    operations += 1;
    const outcome = await store.commit({
      baseConfig: config,
      // Each change adds an entry of its own, so that a skipped one shows.
      changes: [{ kind: 'put_team', team: { id: asId<TeamId>(`t${operations}`), admins: [] } }],
      who: 'test',
      why: 'test',
      operationId: asId<OperationId>(`op-${operations}`),
      digest: '',
      atMs: 0,
    });
    const current = await store.readConfig();
    if (current.kind === 'ok') config = current.config;
    return outcome.kind === 'accepted';
  }

  return {
    run: (forMs) => {
      runUntilMs += forMs;
      return time.run(runUntilMs);
    },
    store,
    setFaults: (next) => {
      faults = { ...NO_FAULTS, ...next };
    },
    setLossRatio: (ratio) => {
      lossRatio = ratio;
    },
    isolate: (index) => {
      cutOffIndex = index;
    },
    node: (index) => {
      const found = nodes[index];
      if (found === undefined) throw new Error(`no node ${index}`);
      return found;
    },
    nodes: () => nodes,
    start,
    commitChange,
    acceptedRevision: () => config.revision,
    tableReads: () => tablesModel.operationCounts().reads,
  };
}

/** A simple string hash; the tests need no good distribution. */
function hashText(text: string): number {
  return [...text].reduce((hash, char) => (hash * 31 + char.charCodeAt(0)) % 4_294_967_296, 7);
}
