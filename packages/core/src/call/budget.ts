/** Limits retries, hedges and stream resumes to a ratio of the requests served. */
export interface RetryBudget {
  /** To be called for each request served; adds `ratio` to the budget. */
  readonly onRequest: () => void;
  /** Takes one retry from the budget; false if none is left. */
  readonly tryTake: () => boolean;
  readonly available: () => number;
}

export interface RetryBudgetSettings {
  /** Retries added to the budget for each request. */
  readonly ratio: number;
  /** Most retries that can be saved up; a new router starts with this many. */
  readonly burst: number;
}

/**
 * A burst of 20 covers the requests that a busy router has in flight to one server when it dies.
 * Beyond the burst, the ratio keeps retries from multiplying the load of a failing service.
 */
export const RETRY_BUDGET_DEFAULTS: RetryBudgetSettings = { ratio: 0.1, burst: 20 };

/** Creates a token bucket that requests fill and retries drain. */
export function createRetryBudget(settings: RetryBudgetSettings): RetryBudget {
  // Counted in millionths of a retry: adding a fraction such as 0.1 repeatedly would drift.
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
