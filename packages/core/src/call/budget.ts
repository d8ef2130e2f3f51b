/** Limits retries, hedges and stream resumes to a share of the requests served. */
export interface RetryBudget {
  /** Each request served adds to the budget. */
  readonly onRequest: () => void;
  /** Takes one retry, if there is one left. */
  readonly tryTake: () => boolean;
  readonly available: () => number;
}

export interface RetryBudgetSettings {
  readonly ratio: number;
  /** Retries that may be saved up, and that a router without traffic yet may use. */
  readonly burst: number;
}

/**
 * 20 retries cover the requests in flight to one dead server on a busy router; in the long run the
 * ratio alone decides, so that retries cannot multiply the load of a service that is failing.
 */
export const RETRY_BUDGET_DEFAULTS: RetryBudgetSettings = { ratio: 0.1, burst: 20 };

/** Creates a token bucket that requests fill and retries empty. */
export function createRetryBudget(settings: RetryBudgetSettings): RetryBudget {
  // Counted in millionths, because adding a ratio such as 0.1 many times drifts.
  const unit = 1_000_000;
  const gain = Math.round(settings.ratio * unit);
  const capacity = settings.burst * unit;
  let level = capacity;
  return {
    onRequest: () => {
      level = Math.min(capacity, level + gain);
    },
    tryTake: () => {
      if (level < unit) return false;
      level -= unit;
      return true;
    },
    available: () => Math.floor(level / unit),
  };
}
