import { isMajorityHeard } from '@mimosamill/core';
import type { Clock } from '@mimosamill/adapters';
import type { HostId, PeerRegistry } from '@mimosamill/core';

export interface PeerKnowledgePorts {
  readonly clock: Clock;
  readonly peerRegistry: Pick<PeerRegistry, 'heardSince'>;
  /** Age of the list of servers. */
  readonly serverListAgeMs: () => number;
  /** The other routers that are listed, whether they run or not; undefined until the list has been read. */
  readonly knownRouters: () => readonly HostId[] | undefined;
}

/** Tells how far this router may trust what it knows of the others, for decisions that cannot be undone. */
export interface PeerKnowledge {
  /** Called at each step; returns for how long the process stood still before it, or undefined. */
  readonly onStep: () => number | undefined;
  /** Whether the process has stood still since the last step. */
  readonly hasStoodStill: (nowMs: number) => boolean;
  /** Whether most routers have told what they know since this one last stood still, and of late. */
  readonly isInformed: () => boolean;
}

/** A process that has not stepped for this time stood still, and knows the others as of before. */
const STANDSTILL_MS = 1_000;
/** Time after a standstill in which what had arrived meanwhile is still being read. */
const BACKLOG_MS = 300;
/** Twice the longest time between two messages of a router. */
const PEER_STATE_MAX_AGE_MS = 2_000;
/** An older list of servers does not tell which of them are present; a relayed one may be some seconds old. */
const SERVER_LIST_MAX_AGE_MS = 5_000;

export function createPeerKnowledge({
  clock,
  peerRegistry,
  serverListAgeMs,
  knownRouters,
}: PeerKnowledgePorts): PeerKnowledge {
  let lastStepAtMs = clock.monotonicMs();
  /** Messages that arrived before may be from before the process stood still, or before it started. */
  let knownSinceMs = lastStepAtMs;

  function hasStoodStill(nowMs: number): boolean {
    return nowMs - lastStepAtMs >= STANDSTILL_MS;
  }

  return {
    onStep: () => {
      const nowMs = clock.monotonicMs();
      const stoodMs = hasStoodStill(nowMs) ? nowMs - lastStepAtMs : undefined;
      if (stoodMs !== undefined) knownSinceMs = nowMs + BACKLOG_MS;
      lastStepAtMs = nowMs;
      return stoodMs;
    },
    hasStoodStill,
    isInformed: () => {
      const nowMs = clock.monotonicMs();
      const known = knownRouters();
      if (hasStoodStill(nowMs) || known === undefined) return false;
      if (serverListAgeMs() > SERVER_LIST_MAX_AGE_MS) return false;
      const sinceMs = Math.max(knownSinceMs, nowMs - PEER_STATE_MAX_AGE_MS);
      return isMajorityHeard(known, peerRegistry.heardSince(sinceMs));
    },
  };
}
