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
  /** How long a culprit is refused. */
  readonly culpritExpiryMs: number;
}

const ITEM_KINDS = ['death', 'cleared', 'runner', 'culprit'] as const;

/** To be mounted as 'suspects'. */
export interface SharedSuspectGuard extends SuspectGuard {
  readonly router: SuspectRouter;
}

/** Judges requests together with the other routers, which report directly and by gossip. */
export function createSuspectGuard(deps: SuspectGuardDeps): SharedSuspectGuard {
  const { clock, hash, peers, log } = deps;
  const report = createSuspectReporter(peers);
  const suspects = createSuspectTracker({
    ...SUSPECT_TRACKER_DEFAULTS,
    routerId: peers.self().routerId,
    hash,
    culpritExpiryMs: deps.culpritExpiryMs,
  });
  const refused = deps.metrics.counter(
    'mimosamill_condemned_requests_total',
    'Attempts refused because their content crashes engines',
  );
  const deaths = deps.metrics.counter('mimosamill_engine_deaths_total', 'Engines found dead', [
    'failure_domain',
  ]);

  ITEM_KINDS.forEach((kind) => {
    peers.onGossipItem(kind, ({ key, payload, expiresAtMs }) => {
      onItems([{ kind, key, payload, expiresAtMs }]);
    });
  });

  function onItems(items: readonly SuspectItem[]): void {
    items.forEach((item) => suspects.onItem(item, clock.nowMs()));
    spread();
  }

  function spread(): void {
    const items = suspects.takeItems();
    if (items.length === 0) return;
    report(items);
    items.forEach(publish);
  }

  function publish({ kind, key, payload, expiresAtMs }: SuspectItem): void {
    if (kind === 'culprit') log.warn('request condemned', { fingerprint: key });
    peers.publish({ kind, key, payload, ttlMs: Math.max(1, expiresAtMs - clock.nowMs()) });
  }

  /** This router's place in an order that all routers share. */
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
      spread();
      if (admission.kind === 'condemned') refused.inc();
      if (admission.kind !== 'wait') return admission;
      return { kind: 'wait', delayMs: Math.max(1, admission.untilMs - nowMs) };
    },
    onPlaced: (fingerprint, engineId) => {
      suspects.onPlaced(fingerprint, engineId);
      spread();
    },
    enginesToAvoid: (fingerprint, engines) =>
      suspects.enginesToAvoid(fingerprint, engines, clock.nowMs()),
    onProgress: (fingerprint, index) => {
      suspects.onProgress(fingerprint, index, clock.nowMs());
      spread();
    },
    onDeath: (engine, requests) => {
      const { engineId, failureDomain } = engine;
      deaths.inc({ failure_domain: failureDomain });
      log.warn('engine died', { engine: engineId, requests: requests.length });
      const atMs = clock.nowMs();
      const running = requests.map(({ fingerprint, tokenCount }) => ({
        fingerprint,
        index: tokenCount,
      }));
      suspects.onDeath({ engineId, failureDomain, atMs, running }, atMs);
      spread();
    },
    onEnd: (fingerprint, requestId, how) => {
      suspects.onEnd(fingerprint, requestId, how, clock.nowMs());
      spread();
    },
  };
}
