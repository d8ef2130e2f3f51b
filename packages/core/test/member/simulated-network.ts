import { createSwim, visibleState, SWIM_DEFAULTS } from '../../src/index';
import type { Hash32, RouterId, Swim, SwimEffect, SwimEvent } from '../../src/index';

/** Faults of the simulated network between `fromMs` and `untilMs`. */
export interface NetworkFaults {
  readonly untilMs: number;
  readonly lossRatio: number;
  readonly duplicateRatio: number;
  readonly maxDelayMs: number;
}

export interface NodeSpec {
  readonly id: string;
  readonly region: string;
  readonly failureDomain: string;
}

export interface Pause {
  readonly node: number;
  readonly fromMs: number;
  readonly forMs: number;
}

export interface Network {
  readonly run: (untilMs: number) => void;
  readonly kill: (node: number) => void;
  /** Starts the node again, with an empty view and a higher incarnation. */
  readonly restart: (node: number) => void;
  readonly swim: (node: number) => Swim;
  /** "observer member state" for every running node, in order. */
  readonly states: () => string[];
  readonly partition: (isCut: (from: NodeSpec, to: NodeSpec) => boolean) => void;
  /** Longest message sent, in updates. */
  readonly maxUpdates: () => number;
  readonly sentCount: () => number;
  readonly log: readonly string[];
}

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly node: number;
  readonly generation: number;
  readonly callback: () => void;
}

const BASE_DELAY_MS = 1;

/** Runs state machines on a virtual clock; probes are calls that end with an answer or a timeout. */
export function createNetwork(
  specs: readonly NodeSpec[],
  faults: NetworkFaults,
  pauses: readonly Pause[],
  hash: Hash32,
  random: () => number,
): Network {
  const queue: Scheduled[] = [];
  const log: string[] = [];
  const swims: Swim[] = [];
  const generations = specs.map(() => 0);
  const isUp = specs.map(() => true);
  let nowMs = 0;
  let lastOrder = 0;
  let lastReplyId = 0;
  let maxUpdates = 0;
  let sentCount = 0;
  let isCut: (from: NodeSpec, to: NodeSpec) => boolean = () => false;
  const replies = new Map<string, (effect: SwimEffect) => void>();

  function schedule(node: number, delayMs: number, callback: () => void): void {
    lastOrder += 1;
    const generation = generations[node] ?? 0;
    queue.push({ atMs: nowMs + delayMs, order: lastOrder, node, generation, callback });
  }

  function start(node: number): void {
    const spec = specs[node] as NodeSpec;
    const life = (generations[node] ?? 0) + 1;
    generations[node] = life;
    isUp[node] = true;
    swims[node] = createSwim(
      {
        ...SWIM_DEFAULTS,
        routerId: spec.id as RouterId,
        address: spec.id,
        peerAddress: spec.id,
        region: spec.region as never,
        failureDomain: spec.failureDomain as never,
        incarnation: life * 1_000,
        seeds: [specs[0]?.id ?? ''],
        hash,
        random,
      },
      nowMs,
    );
    const tick = (): void => {
      dispatch(node, { kind: 'tick' });
      schedule(node, SWIM_DEFAULTS.periodMs, tick);
    };
    schedule(node, random() * SWIM_DEFAULTS.periodMs, tick);
  }

  function dispatch(node: number, event: SwimEvent): void {
    swims[node]?.onEvent(event, nowMs).forEach((effect) => apply(node, effect));
  }

  /** Delivers with the network's faults; the same message may arrive twice or never. */
  function send(from: number, to: number, fn: () => void): void {
    sentCount += 1;
    const [sender, receiver] = [specs[from], specs[to]];
    if (sender === undefined || receiver === undefined || isCut(sender, receiver)) return;
    const isFaulty = nowMs < faults.untilMs;
    const copies = isFaulty && random() < faults.duplicateRatio ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (!isFaulty || random() >= faults.lossRatio) {
        const extraMs = isFaulty ? random() * faults.maxDelayMs : 0;
        schedule(to, BASE_DELAY_MS + extraMs, fn);
      }
    }
  }

  function indexOf(peerAddress: string): number {
    return specs.findIndex(({ id }) => id === peerAddress);
  }

  function request(
    from: number,
    peerAddress: string,
    timeoutMs: number,
    seq: number,
    toEvent: (replyId: number) => SwimEvent,
  ): void {
    const to = indexOf(peerAddress);
    send(from, to, () => {
      lastReplyId += 1;
      const replyId = lastReplyId;
      replies.set(`${to} ${replyId}`, (effect) => answer(to, from, seq, effect));
      dispatch(to, toEvent(replyId));
    });
    // Late answers still arrive afterwards, which the state machine has to bear.
    schedule(from, timeoutMs, () => dispatch(from, { kind: 'no_ack', seq }));
  }

  function answer(from: number, to: number, seq: number, effect: SwimEffect): void {
    if (effect.kind === 'reply') {
      const { message } = effect;
      send(from, to, () => dispatch(to, { kind: 'ack', seq, message }));
    } else if (effect.kind === 'sync_reply') {
      const { reply } = effect;
      send(from, to, () => dispatch(to, { kind: 'sync_ack', seq, reply }));
    } else {
      send(from, to, () => dispatch(to, { kind: 'no_ack', seq }));
    }
  }

  function apply(node: number, effect: SwimEffect): void {
    const spec = specs[node] as NodeSpec;
    switch (effect.kind) {
      case 'ping': {
        const { seq, target, message, timeoutMs } = effect;
        maxUpdates = Math.max(maxUpdates, message.updates.length);
        request(node, target.peerAddress, timeoutMs, seq, (replyId) => ({
          kind: 'ping',
          replyId,
          message,
        }));
        break;
      }
      case 'ping_req': {
        const { seq, target, message, timeoutMs } = effect;
        request(node, effect.via, timeoutMs, seq, (replyId) => ({
          kind: 'ping_req',
          replyId,
          message,
          target,
        }));
        break;
      }
      case 'sync':
        request(node, effect.to, 2_000, effect.seq, (replyId) => ({
          kind: 'sync',
          replyId,
          request: effect.request,
        }));
        break;
      case 'push': {
        const to = indexOf(effect.to);
        const { from, updates } = effect;
        send(node, to, () => dispatch(to, { kind: 'push', from, updates }));
        break;
      }
      case 'reply':
      case 'refuse':
      case 'sync_reply':
        replies.get(`${node} ${effect.replyId}`)?.(effect);
        replies.delete(`${node} ${effect.replyId}`);
        break;
      case 'changed':
        log.push(`${Math.round(nowMs)} ms: ${spec.id} sees ${effect.routerId} ${effect.state}`);
        break;
      default:
    }
  }

  /** End of the pause that covers the time, if any. */
  function pausedUntil(node: number, atMs: number): number | undefined {
    const pause = pauses.find(
      (one) => one.node === node && atMs >= one.fromMs && atMs < one.fromMs + one.forMs,
    );
    return pause === undefined ? undefined : pause.fromMs + pause.forMs;
  }

  function run(untilMs: number): void {
    for (;;) {
      queue.sort((a, b) => b.atMs - a.atMs || b.order - a.order);
      const next = queue.at(-1);
      if (next === undefined || next.atMs > untilMs) break;
      queue.pop();
      nowMs = Math.max(nowMs, next.atMs);
      const resumeMs = pausedUntil(next.node, nowMs);
      const isCurrent = isUp[next.node] === true && generations[next.node] === next.generation;
      if (isCurrent && resumeMs !== undefined) queue.push({ ...next, atMs: resumeMs });
      else if (isCurrent) next.callback();
    }
    nowMs = untilMs;
  }

  specs.forEach((_, node) => start(node));
  return {
    run,
    kill: (node) => {
      isUp[node] = false;
    },
    restart: start,
    swim: (node) => swims[node] as Swim,
    states: () =>
      specs.flatMap(({ id }, node) => {
        if (isUp[node] !== true) return [];
        const entries = [...(swims[node] as Swim).entries()];
        return entries
          .map((entry) => `${id} ${entry.update.routerId} ${visibleState(entry)}`)
          .sort();
      }),
    partition: (fn) => {
      isCut = fn;
    },
    maxUpdates: () => maxUpdates,
    sentCount: () => sentCount,
    log,
  };
}
