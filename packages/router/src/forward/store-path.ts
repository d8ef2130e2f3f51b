import { createFreshnessTracker, createOutageTracker } from '@mimosamill/core';
import { finiteMs } from './finite';
import type { Clock, DecisionLog } from '@mimosamill/adapters';
import type { FreshnessTracker, StoreEras } from '@mimosamill/core';

/** What a watch knows of its path to the store, and of the age of its content. */
export interface StorePath {
  readonly freshness: FreshnessTracker;
  readonly onAnswer: (sentAtMs: number, storeNowMs: number) => void;
  readonly onFailure: (message: string) => void;
  /** A relay answered with content that was current at a time on the store's clock. */
  readonly onRelayed: (storeAsOfMs: number, sinceOutageMs: number) => void;
  /** What the store lost counts like what expired in an outage that has just ended. */
  readonly onRestored: () => void;
  readonly checkClocks: () => void;
  readonly ageMs: () => number;
  readonly sinceOutageMs: () => number;
  /** Whether the last call to the store failed. */
  readonly isLost: () => boolean;
}

export function createStorePath(
  tableName: string,
  eras: StoreEras,
  revision: () => number,
  onRegained: () => void,
  clock: Clock,
  decisions: DecisionLog,
): StorePath {
  const freshness = createFreshnessTracker();
  const outage = createOutageTracker();

  function sinceOutageMs(): number {
    return outage.sinceOutageMs(clock.monotonicMs());
  }

  function checkClocks(): void {
    const check = freshness.checkClocks(clock.monotonicMs(), clock.nowMs());
    if (check.kind === 'ok') return;
    decisions.vital('clock.discrepancy', {
      table: tableName,
      difference_ms: Math.round(check.differenceMs),
    });
  }

  return {
    freshness,
    onAnswer: (sentAtMs, storeNowMs) => {
      checkClocks();
      freshness.onAnswer(sentAtMs, storeNowMs);
      const lostMs = outage.onStoreAnswered(clock.monotonicMs());
      if (lostMs === undefined) return;
      decisions.vital('store.regained', {
        table: tableName,
        revision: revision(),
        era: eras.current(),
        lost_ms: Math.round(lostMs),
        since_outage_ms: finiteMs(sinceOutageMs()),
      });
      onRegained();
    },
    onFailure: (message) => {
      const nowMs = clock.monotonicMs();
      if (!outage.onStoreFailed(nowMs)) return;
      decisions.vital('store.lost', {
        table: tableName,
        revision: revision(),
        era: eras.current(),
        age_ms: Math.round(freshness.ageMs(nowMs)),
        message,
      });
    },
    onRelayed: (storeAsOfMs, relaySinceOutageMs) => {
      freshness.onRelayed(storeAsOfMs);
      const nowMs = clock.monotonicMs();
      outage.onRelayed(nowMs - freshness.ageMs(nowMs), relaySinceOutageMs, nowMs);
    },
    onRestored: () => {
      freshness.onRestored();
      outage.onRestored(clock.monotonicMs());
    },
    checkClocks,
    ageMs: () => freshness.ageMs(clock.monotonicMs()),
    sinceOutageMs,
    isLost: outage.isPathLost,
  };
}
