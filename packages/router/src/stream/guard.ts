import { createSuspectTracker, rankByRendezvous, SUSPECT_TRACKER_DEFAULTS } from '@mimosamill/core';
import { createSuspectReporter, createSuspectRouter } from './report';
import type { Clock, Log, Metrics } from '@mimosamill/adapters';
import type { Fingerprint, Hash32, SuspectItem } from '@mimosamill/core';
import type { MembershipService } from '../peer/membership';
import type { SuspectGuard } from './ports';
import type { SuspectRouter } from './report';

export interface SuspectGuardDeps {
  readonly clock: Clock;
  readonly hash: Hash32;
  readonly peers: Pick<MembershipService, 'self' | 'members' | 'pool' | 'publish' | 'onGossipItem'>;
  readonly metrics: Metrics;
  readonly log: Log;
  /** How long requests are refused after engines crashed on their content. */
  readonly culpritExpiryMs: number;
}

const ITEM_KINDS = ['death', 'cleared', 'runner', 'culprit'] as const;

/** Its router is mounted in the peer server as 'suspects'. */
export interface SharedSuspectGuard extends SuspectGuard {
  readonly router: SuspectRouter;
}

/** Shares engine deaths and suspects with the other routers by direct reports and by gossip. */
export function createSuspectGuard(deps: SuspectGuardDeps): SharedSuspectGuard {
  const { clock, hash, peers, log } = deps;
  const reportToRegion = createSuspectReporter(peers);
  const suspects = createSuspectTracker({
    ...SUSPECT_TRACKER_DEFAULTS,
    routerId: peers.self().routerId,
    hash,
    culpritExpiryMs: deps.culpritExpiryMs,
  });
  const refusedCounter = deps.metrics.counter(
    'mimosamill_condemned_requests_total',
    'Attempts refused because their content crashes engines',
  );
  const deathCounter = deps.metrics.counter(
    'mimosamill_engine_deaths_total',
    'Engines found dead',
    ['failure_domain'],
  );

  ITEM_KINDS.forEach((kind) => {
    peers.onGossipItem(kind, ({ key, payload, expiresAtMs }) => {
      onItems([{ kind, key, payload, expiresAtMs }]);
    });
  });

  function onItems(items: readonly SuspectItem[]): void {
    items.forEach((item) => suspects.onItem(item, clock.nowMs()));
    shareItems();
  }

  function shareItems(): void {
    const items = suspects.takeItems();
    if (items.length === 0) return;
    reportToRegion(items);
    items.forEach(publish);
  }

  function publish({ kind, key, payload, expiresAtMs }: SuspectItem): void {
    if (kind === 'culprit') log.warn('request condemned', { fingerprint: key });
    peers.publish({ kind, key, payload, ttlMs: Math.max(1, expiresAtMs - clock.nowMs()) });
  }

  /** Rank of this router in an order, equal on all routers, in which they may run a suspect. */
  function rankOf(fingerprint: Fingerprint): number {
    const { routerId } = peers.self();
    const alive = peers.members().filter(({ state }) => state === 'alive');
    const ranked = rankByRendezvous(fingerprint, alive, (member) => member.routerId, hash);
    return Math.max(
      0,
      ranked.findIndex((member) => member.routerId === routerId),
    );
  }

  return {
    router: createSuspectRouter(onItems),
    admit: (fingerprint, requestId) => {
      const nowMs = clock.nowMs();
      const admission = suspects.admit(fingerprint, requestId, rankOf(fingerprint), nowMs);
      shareItems();
      if (admission.kind === 'condemned') refusedCounter.inc();
      if (admission.kind !== 'wait') return admission;
      return { kind: 'wait', delayMs: Math.max(1, admission.untilMs - nowMs) };
    },
    onPlaced: (fingerprint, engineId) => {
      suspects.onPlaced(fingerprint, engineId);
      shareItems();
    },
    enginesToAvoid: (fingerprint, engines) =>
      suspects.enginesToAvoid(fingerprint, engines, clock.nowMs()),
    onProgress: (fingerprint, index) => {
      suspects.onProgress(fingerprint, index, clock.nowMs());
      shareItems();
    },
    onDeath: (engine, requests) => {
      const { engineId, failureDomain } = engine;
      deathCounter.inc({ failure_domain: failureDomain });
      log.warn('engine died', { engine: engineId, requests: requests.length });
      const atMs = clock.nowMs();
      const running = requests.map(({ fingerprint, tokenCount }) => ({
        fingerprint,
        index: tokenCount,
      }));
      suspects.onDeath({ engineId, failureDomain, atMs, running }, atMs);
      shareItems();
    },
    onEnd: (fingerprint, requestId, outcome) => {
      suspects.onEnd(fingerprint, requestId, outcome, clock.nowMs());
      shareItems();
    },
  };
}
