import {
  UNLEASED_RATIO,
  createQuotaAllocator,
  createAllocatorAssignment,
  createRegionQuota,
  createQuotaShare,
  QUOTA_LEASE_MS,
  REGION_UNLEASED_RATIO,
  scaleQuota,
} from '@mimosamill/core';
import type {
  AcquireOutcome,
  QuotaAllocator,
  Quota,
  AllocatorAssignment,
  Hash32,
  Permit,
  RegionQuota,
  QuotaShare,
} from '@mimosamill/core';
import type { Random } from '../random';
import type { Timeline } from '../timeline';

export interface QuotaFleetOptions {
  readonly nodeCount: number;
  readonly regionCount: number;
  readonly timeline: Timeline;
  readonly hash: Hash32;
  readonly random: Random;
  readonly limitOf: (customer: string) => Quota;
}

/** Simulated nodes that share limits over a network that can be partitioned. */
export interface QuotaFleet {
  /** Calls `done` once, either immediately or after the answer to a claim. */
  readonly acquire: (
    nodeIndex: number,
    customer: string,
    maxTokens: number,
    done: (permit: Permit | undefined) => void,
  ) => void;
  readonly regionOf: (nodeIndex: number) => number;
  readonly isUp: (nodeIndex: number) => boolean;
  /** Isolates the nodes from all others; both sides detect this after FAILURE_DETECTION_MS. */
  readonly isolate: (nodeIndices: readonly number[]) => void;
  readonly heal: () => void;
  readonly stop: (nodeIndices: readonly number[]) => void;
  readonly restart: (nodeIndices: readonly number[]) => void;
  readonly allocatorOf: (customer: string, region: number) => number;
  readonly sentBytes: () => number;
}

interface QuotaNode {
  readonly index: number;
  readonly region: number;
  shares: Map<string, NodeShare>;
  allocator: QuotaAllocator;
  regionQuotas: Map<string, RegionQuota>;
  startedAtMs: number;
  isUp: boolean;
  partition: number;
}

interface NodeShare {
  readonly share: QuotaShare;
  waiting: { readonly maxTokens: number; readonly done: (permit: Permit | undefined) => void }[];
}

/** Membership as seen by the nodes on one side of a network partition. */
interface MembershipView {
  reachable: Set<number>;
  countByRegion: number[];
  readonly regions: readonly AllocatorAssignment[];
  readonly root: AllocatorAssignment;
}

const FAILURE_DETECTION_MS = 5_000;
const CLAIM_INTERVAL_MS = 250;
const OWN_REGION_DELAY_MS = 1;
const OTHER_REGION_DELAY_MS = 20;
const REQUEST_TIMEOUT_MS = 500;
/** Headers of a request and its answer on an open connection between peers. */
const HTTP_BYTES_PER_EXCHANGE = 250;
const IDLE_SWEEP_INTERVAL_MS = 5_000;

export function createQuotaFleet(options: QuotaFleetOptions): QuotaFleet {
  const { timeline, hash, nodeCount, regionCount, limitOf, random } = options;
  const nodes = Array.from({ length: nodeCount }, (_, index) =>
    createNode(index, index % regionCount),
  );
  const all = new Set(nodes.map(({ index }) => index));
  let bytes = 0;
  const views: MembershipView[] = [createView(all), createView(all)];
  nodes.forEach(startTimers);

  function createView(reachable: Set<number>): MembershipView {
    const view: MembershipView = {
      reachable,
      countByRegion: [],
      regions: Array.from({ length: regionCount }, () =>
        createAllocatorAssignment(hash, -QUOTA_LEASE_MS * 2),
      ),
      root: createAllocatorAssignment(hash, -QUOTA_LEASE_MS * 2),
    };
    setReachable(view, reachable, -QUOTA_LEASE_MS * 2);
    return view;
  }

  function setReachable(view: MembershipView, reachable: Set<number>, nowMs: number): void {
    view.reachable = reachable;
    const names = (indices: number[]): string[] => indices.map((index) => `n${index}`);
    view.root.setHosts(names([...reachable]), nowMs);
    view.regions.forEach((assignment, region) => {
      const members = [...reachable].filter((index) => nodes[index]?.region === region);
      assignment.setHosts(names(members), nowMs);
      view.countByRegion[region] = members.length;
    });
  }

  function viewOf(node: QuotaNode): MembershipView {
    return views[node.partition] ?? views[0] ?? createView(all);
  }

  function shareOf(node: QuotaNode, customer: string): NodeShare {
    const existing = node.shares.get(customer);
    if (existing !== undefined) return existing;
    const share = createQuotaShare(limitOf(customer), nodeCount, timeline.nowMs(), random());
    const created: NodeShare = { share, waiting: [] };
    node.shares.set(customer, created);
    return created;
  }

  function regionNodeRatio(node: QuotaNode): number {
    return (viewOf(node).countByRegion[node.region] ?? 0) / nodeCount;
  }

  function regionQuotaOf(node: QuotaNode, customer: string): RegionQuota {
    const existing = node.regionQuotas.get(customer);
    const limit = scaleQuota(limitOf(customer), 1 - UNLEASED_RATIO);
    if (existing !== undefined) {
      existing.setLimit(limit, regionNodeRatio(node));
      return existing;
    }
    const created = createRegionQuota(limit, regionNodeRatio(node));
    node.regionQuotas.set(customer, created);
    return created;
  }

  /** Delivers a request and its answer; a timeout is reported as an undefined answer. */
  function sendRequest<T>(
    from: QuotaNode,
    targetIndex: number,
    sizeBytes: number,
    answer: (to: QuotaNode) => T | undefined,
    done: (answer: T | undefined) => void,
  ): void {
    const to = nodes[targetIndex];
    const nowMs = timeline.nowMs();
    bytes += HTTP_BYTES_PER_EXCHANGE + sizeBytes;
    if (to === undefined || !to.isUp || to.partition !== from.partition) {
      timeline.schedule(nowMs + REQUEST_TIMEOUT_MS, () => {
        if (from.isUp) done(undefined);
      });
      return;
    }
    const delayMs = to.region === from.region ? OWN_REGION_DELAY_MS : OTHER_REGION_DELAY_MS;
    timeline.schedule(nowMs + delayMs, () => {
      const reply = to.isUp && to.partition === from.partition ? answer(to) : undefined;
      timeline.schedule(
        timeline.nowMs() + (reply === undefined ? REQUEST_TIMEOUT_MS : delayMs),
        () => {
          if (from.isUp) done(from.partition === to.partition ? reply : undefined);
        },
      );
    });
  }

  function claim(node: QuotaNode, customer: string, entry: NodeShare): void {
    const due = entry.share.dueClaim(timeline.nowMs());
    if (due === undefined) return;
    const target = viewOf(node).regions[node.region]?.allocatorOf(customer) ?? '';
    const { startedAtMs } = node;
    sendRequest(
      node,
      Number(target.slice(1)),
      JSON.stringify([[customer, Object.values(due.wanted), due.streamsInUse]]).length + 40,
      (to) => allocate(to, customer, node, due),
      (answer) => {
        if (startedAtMs !== node.startedAtMs) return;
        const nowMs = timeline.nowMs();
        if (answer?.kind === 'granted') {
          entry.share.onGrant(due, answer.quota, answer.leaseMs, nowMs);
        } else {
          entry.share.onClaimFailed(
            nowMs,
            answer?.kind === 'not_ready' ? answer.retryAfterMs : 500,
          );
        }
        const { waiting } = entry;
        entry.waiting = [];
        waiting.forEach(({ maxTokens, done }) =>
          done(grantedPermit(entry.share.tryAcquire(nowMs, maxTokens))),
        );
      },
    );
  }

  function allocate(
    to: QuotaNode,
    scope: string,
    holder: QuotaNode,
    due: { wanted: Quota; streamsInUse: number },
  ) {
    const nowMs = timeline.nowMs();
    const owners = viewOf(to).regions[to.region];
    if (owners?.allocatorOf(scope) !== `n${to.index}`) return { kind: 'not_responsible' as const };
    to.allocator.refuseUntil(scope, grantsRefusedUntilMs(to, owners, scope, nowMs));
    const regionQuota = regionQuotaOf(to, scope);
    const request = { scope, holder: `n${holder.index}`, ...due };
    const answer = to.allocator.request(request, regionQuota.quota(nowMs), nowMs);
    claimRegionQuota(to, scope, regionQuota);
    return answer;
  }

  function grantsRefusedUntilMs(
    node: QuotaNode,
    assignment: AllocatorAssignment,
    scope: string,
    nowMs: number,
  ): number {
    const restartMs = node.startedAtMs > 0 ? node.startedAtMs + QUOTA_LEASE_MS : 0;
    return Math.max(restartMs, assignment.earlierLeasesEndMs(scope, `n${node.index}`, nowMs));
  }

  function claimRegionQuota(node: QuotaNode, customer: string, regionQuota: RegionQuota): void {
    const due = regionQuota.dueClaim(
      node.allocator.totalWanted(customer, timeline.nowMs()),
      timeline.nowMs(),
    );
    if (due === undefined) return;
    const scope = `root/${customer}`;
    const target = viewOf(node).root.allocatorOf(scope) ?? '';
    const { startedAtMs } = node;
    sendRequest(
      node,
      Number(target.slice(1)),
      JSON.stringify([[scope, Object.values(due.wanted), 0]]).length + 40,
      (to) => {
        const nowMs = timeline.nowMs();
        const { root, reachable } = viewOf(to);
        if (root.allocatorOf(scope) !== `n${to.index}`) return { kind: 'not_responsible' as const };
        to.allocator.refuseUntil(scope, grantsRefusedUntilMs(to, root, scope, nowMs));
        const ratio =
          (1 - UNLEASED_RATIO) * (1 - REGION_UNLEASED_RATIO) * (reachable.size / nodeCount);
        return to.allocator.request(
          { scope, holder: `r${node.region}`, wanted: due.wanted, streamsInUse: 0 },
          scaleQuota(limitOf(customer), ratio),
          nowMs,
        );
      },
      (answer) => {
        if (startedAtMs !== node.startedAtMs) return;
        if (answer?.kind === 'granted') regionQuota.onGrant(due, answer.quota, answer.leaseMs);
        else regionQuota.onClaimFailed(timeline.nowMs());
      },
    );
  }

  function startTimers(node: QuotaNode): void {
    const sendDueClaims = (): void => {
      if (node.isUp) {
        node.shares.forEach((entry, customer) => claim(node, customer, entry));
        node.regionQuotas.forEach((regionQuota, customer) =>
          claimRegionQuota(node, customer, regionQuota),
        );
      }
      timeline.schedule(timeline.nowMs() + CLAIM_INTERVAL_MS, sendDueClaims);
    };
    const removeIdleShares = (): void => {
      node.shares.forEach((entry, customer) => {
        if (entry.share.isIdle(timeline.nowMs())) node.shares.delete(customer);
      });
      timeline.schedule(timeline.nowMs() + IDLE_SWEEP_INTERVAL_MS, removeIdleShares);
    };
    timeline.schedule((CLAIM_INTERVAL_MS * node.index) / nodeCount, sendDueClaims);
    timeline.schedule(IDLE_SWEEP_INTERVAL_MS, removeIdleShares);
  }

  return {
    acquire: (nodeIndex, customer, maxTokens, done) => {
      const node = nodes[nodeIndex];
      if (node === undefined || !node.isUp) {
        done(undefined);
        return;
      }
      const entry = shareOf(node, customer);
      const outcome = entry.share.tryAcquire(timeline.nowMs(), maxTokens);
      if (outcome.kind === 'ok') done(outcome.permit);
      claim(node, customer, entry);
      if (outcome.kind === 'ok') return;
      // Without an open claim there is no answer that would call `done`.
      if (entry.share.isClaiming(timeline.nowMs())) entry.waiting.push({ maxTokens, done });
      else done(undefined);
    },
    regionOf: (nodeIndex) => nodes[nodeIndex]?.region ?? 0,
    isUp: (nodeIndex) => nodes[nodeIndex]?.isUp ?? false,
    isolate: (nodeIndices) => {
      nodeIndices.forEach((index) => {
        const node = nodes[index];
        if (node !== undefined) node.partition = 1;
      });
      timeline.schedule(timeline.nowMs() + FAILURE_DETECTION_MS, () => {
        const isolated = new Set(nodeIndices);
        const rest = new Set([...all].filter((index) => !isolated.has(index)));
        if (views[0] !== undefined) setReachable(views[0], rest, timeline.nowMs());
        if (views[1] !== undefined) setReachable(views[1], isolated, timeline.nowMs());
      });
    },
    heal: () => {
      nodes.forEach((node) => {
        node.partition = 0;
      });
      if (views[0] !== undefined) setReachable(views[0], all, timeline.nowMs());
    },
    stop: (nodeIndices) => {
      nodeIndices.forEach((index) => {
        const node = nodes[index];
        if (node !== undefined) node.isUp = false;
      });
      const stopped = new Set(nodeIndices);
      timeline.schedule(timeline.nowMs() + FAILURE_DETECTION_MS, () => {
        const rest = new Set([...all].filter((index) => !stopped.has(index)));
        if (views[0] !== undefined) setReachable(views[0], rest, timeline.nowMs());
      });
    },
    restart: (nodeIndices) => {
      nodeIndices.forEach((index) => {
        const node = nodes[index];
        if (node === undefined) return;
        const fresh = createNode(index, node.region);
        Object.assign(node, fresh, { startedAtMs: timeline.nowMs() });
      });
      if (views[0] !== undefined) setReachable(views[0], all, timeline.nowMs());
    },
    allocatorOf: (customer, region) =>
      Number((views[0]?.regions[region]?.allocatorOf(customer) ?? 'n0').slice(1)),
    sentBytes: () => bytes,
  };
}

function grantedPermit(outcome: AcquireOutcome): Permit | undefined {
  return outcome.kind === 'ok' ? outcome.permit : undefined;
}

function createNode(index: number, region: number): QuotaNode {
  return {
    index,
    region,
    shares: new Map(),
    allocator: createQuotaAllocator(),
    regionQuotas: new Map(),
    startedAtMs: -Infinity,
    isUp: true,
    partition: 0,
  };
}
