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

/** Nodes that share limits, with a network between them that can be cut. */
export interface QuotaFleet {
  /** Calls back once, at once or after the answer to a claim. */
  readonly acquire: (
    nodeAt: number,
    customer: string,
    maxTokens: number,
    done: (permit: Permit | undefined) => void,
  ) => void;
  readonly regionOf: (nodeAt: number) => number;
  readonly isUp: (nodeAt: number) => boolean;
  /** Cuts the nodes off from all others; both sides notice after the detection time. */
  readonly isolate: (nodeAts: readonly number[]) => void;
  readonly heal: () => void;
  readonly stop: (nodeAts: readonly number[]) => void;
  readonly restart: (nodeAts: readonly number[]) => void;
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

/** Membership as the nodes on one side of a cut see it. */
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
/** Headers of a request and of its answer on an open connection between peers. */
const HTTP_BYTES_PER_EXCHANGE = 250;
const IDLE_SWEEP_INTERVAL_MS = 5_000;

export function createQuotaFleet(options: QuotaFleetOptions): QuotaFleet {
  const { timeline, hash, nodeCount, regionCount, limitOf, random } = options;
  const nodes = Array.from({ length: nodeCount }, (_, at) => createNode(at, at % regionCount));
  const all = new Set(nodes.map(({ index }) => index));
  let bytes = 0;
  const views: MembershipView[] = [createView(all), createView(all)];
  nodes.forEach(startTicks);

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
    const names = (ats: number[]): string[] => ats.map((at) => `n${at}`);
    view.root.setHosts(names([...reachable]), nowMs);
    view.regions.forEach((duty, region) => {
      const members = [...reachable].filter((at) => nodes[at]?.region === region);
      duty.setHosts(names(members), nowMs);
      view.countByRegion[region] = members.length;
    });
  }

  function viewOf(node: QuotaNode): MembershipView {
    return views[node.partition] ?? views[0] ?? createView(all);
  }

  function shareOf(node: QuotaNode, customer: string): NodeShare {
    const known = node.shares.get(customer);
    if (known !== undefined) return known;
    const share = createQuotaShare(limitOf(customer), nodeCount, timeline.nowMs(), random());
    const created: NodeShare = { share, waiting: [] };
    node.shares.set(customer, created);
    return created;
  }

  function regionPart(node: QuotaNode): number {
    return (viewOf(node).countByRegion[node.region] ?? 0) / nodeCount;
  }

  function poolOf(node: QuotaNode, customer: string): RegionQuota {
    const known = node.regionQuotas.get(customer);
    const limit = scaleQuota(limitOf(customer), 1 - UNLEASED_RATIO);
    if (known !== undefined) {
      known.setLimit(limit, regionPart(node));
      return known;
    }
    const created = createRegionQuota(limit, regionPart(node));
    node.regionQuotas.set(customer, created);
    return created;
  }

  /** Delivers a question and its answer, or reports the timeout. */
  function ask<T>(
    from: QuotaNode,
    toAt: number,
    sizeBytes: number,
    answer: (to: QuotaNode) => T | undefined,
    done: (answer: T | undefined) => void,
  ): void {
    const to = nodes[toAt];
    const nowMs = timeline.nowMs();
    bytes += HTTP_BYTES_PER_EXCHANGE + sizeBytes;
    if (to === undefined || !to.isUp || to.partition !== from.partition) {
      timeline.schedule(nowMs + REQUEST_TIMEOUT_MS, () => {
        if (from.isUp) done(undefined);
      });
      return;
    }
    const wayMs = to.region === from.region ? OWN_REGION_DELAY_MS : OTHER_REGION_DELAY_MS;
    timeline.schedule(nowMs + wayMs, () => {
      const given = to.isUp && to.partition === from.partition ? answer(to) : undefined;
      timeline.schedule(
        timeline.nowMs() + (given === undefined ? REQUEST_TIMEOUT_MS : wayMs),
        () => {
          if (from.isUp) done(from.partition === to.partition ? given : undefined);
        },
      );
    });
  }

  function claim(node: QuotaNode, customer: string, entry: NodeShare): void {
    const due = entry.share.dueClaim(timeline.nowMs());
    if (due === undefined) return;
    const target = viewOf(node).regions[node.region]?.allocatorOf(customer) ?? '';
    const { startedAtMs } = node;
    ask(
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
    customer: string,
    holder: QuotaNode,
    due: { wanted: Quota; streamsInUse: number },
  ) {
    const nowMs = timeline.nowMs();
    const duty = viewOf(to).regions[to.region];
    if (duty?.allocatorOf(customer) !== `n${to.index}`) return { kind: 'not_responsible' as const };
    to.allocator.refuseUntil(customer, heldOffUntil(to, duty, customer, nowMs));
    const pool = poolOf(to, customer);
    const request = { scope: customer, holder: `n${holder.index}`, ...due };
    const answer = to.allocator.request(request, pool.quota(nowMs), nowMs);
    claimPool(to, customer, pool);
    return answer;
  }

  function heldOffUntil(
    node: QuotaNode,
    duty: AllocatorAssignment,
    scope: string,
    nowMs: number,
  ): number {
    const restartMs = node.startedAtMs > 0 ? node.startedAtMs + QUOTA_LEASE_MS : 0;
    return Math.max(restartMs, duty.earlierLeasesEndMs(scope, `n${node.index}`, nowMs));
  }

  function claimPool(node: QuotaNode, customer: string, pool: RegionQuota): void {
    const due = pool.dueClaim(
      node.allocator.totalWanted(customer, timeline.nowMs()),
      timeline.nowMs(),
    );
    if (due === undefined) return;
    const scope = `root/${customer}`;
    const target = viewOf(node).root.allocatorOf(scope) ?? '';
    const { startedAtMs } = node;
    ask(
      node,
      Number(target.slice(1)),
      JSON.stringify([[scope, Object.values(due.wanted), 0]]).length + 40,
      (to) => {
        const nowMs = timeline.nowMs();
        const { root, reachable } = viewOf(to);
        if (root.allocatorOf(scope) !== `n${to.index}`) return { kind: 'not_responsible' as const };
        to.allocator.refuseUntil(scope, heldOffUntil(to, root, scope, nowMs));
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
        if (answer?.kind === 'granted') pool.onGrant(due, answer.quota, answer.leaseMs);
        else pool.onClaimFailed(timeline.nowMs());
      },
    );
  }

  function startTicks(node: QuotaNode): void {
    const tick = (): void => {
      if (node.isUp) {
        node.shares.forEach((entry, customer) => claim(node, customer, entry));
        node.regionQuotas.forEach((pool, customer) => claimPool(node, customer, pool));
      }
      timeline.schedule(timeline.nowMs() + CLAIM_INTERVAL_MS, tick);
    };
    const sweep = (): void => {
      node.shares.forEach((entry, customer) => {
        if (entry.share.isIdle(timeline.nowMs())) node.shares.delete(customer);
      });
      timeline.schedule(timeline.nowMs() + IDLE_SWEEP_INTERVAL_MS, sweep);
    };
    timeline.schedule((CLAIM_INTERVAL_MS * node.index) / nodeCount, tick);
    timeline.schedule(IDLE_SWEEP_INTERVAL_MS, sweep);
  }

  return {
    acquire: (nodeAt, customer, maxTokens, done) => {
      const node = nodes[nodeAt];
      if (node === undefined || !node.isUp) {
        done(undefined);
        return;
      }
      const entry = shareOf(node, customer);
      const outcome = entry.share.tryAcquire(timeline.nowMs(), maxTokens);
      if (outcome.kind === 'ok') done(outcome.permit);
      claim(node, customer, entry);
      if (outcome.kind === 'ok') return;
      // Without a claim under way there is nothing to wait for.
      if (entry.share.isClaiming(timeline.nowMs())) entry.waiting.push({ maxTokens, done });
      else done(undefined);
    },
    regionOf: (nodeAt) => nodes[nodeAt]?.region ?? 0,
    isUp: (nodeAt) => nodes[nodeAt]?.isUp ?? false,
    isolate: (nodeAts) => {
      nodeAts.forEach((at) => {
        const node = nodes[at];
        if (node !== undefined) node.partition = 1;
      });
      timeline.schedule(timeline.nowMs() + FAILURE_DETECTION_MS, () => {
        const cutOff = new Set(nodeAts);
        const rest = new Set([...all].filter((at) => !cutOff.has(at)));
        if (views[0] !== undefined) setReachable(views[0], rest, timeline.nowMs());
        if (views[1] !== undefined) setReachable(views[1], cutOff, timeline.nowMs());
      });
    },
    heal: () => {
      nodes.forEach((node) => {
        node.partition = 0;
      });
      if (views[0] !== undefined) setReachable(views[0], all, timeline.nowMs());
    },
    stop: (nodeAts) => {
      nodeAts.forEach((at) => {
        const node = nodes[at];
        if (node !== undefined) node.isUp = false;
      });
      const stopped = new Set(nodeAts);
      timeline.schedule(timeline.nowMs() + FAILURE_DETECTION_MS, () => {
        const rest = new Set([...all].filter((at) => !stopped.has(at)));
        if (views[0] !== undefined) setReachable(views[0], rest, timeline.nowMs());
      });
    },
    restart: (nodeAts) => {
      nodeAts.forEach((at) => {
        const node = nodes[at];
        if (node === undefined) return;
        const fresh = createNode(at, node.region);
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
