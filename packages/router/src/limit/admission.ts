import { createAdmissionController, createServeError } from '@mimosamill/core';
import type { Clock, Metrics } from '@mimosamill/adapters';
import type {
  AdmissionController,
  AdmissionEffect,
  AdmissionSettings,
  Permit,
  RoutePriority,
  ServeError,
  ServiceName,
} from '@mimosamill/core';
import type { QuotaShares } from './shares';

export interface AdmissionRequest {
  readonly service: ServiceName;
  readonly customer: string;
  /** Weight of the customer in the fair queue. */
  readonly weight: number;
  /** Scopes whose limits apply: the customer's and, if it has one, the team's. */
  readonly scopes: readonly string[];
  readonly priority: RoutePriority;
  readonly maxTokens: number;
  readonly deadlineAtMs: number;
}

/** Held by a request that may run. `onEnd` must be called exactly once, however the request ends. */
export interface AdmissionPermit {
  readonly onFirstToken: () => void;
  readonly onTokens: (count: number) => void;
  /** An engine without free capacity refused the request, which may be sent again under this permit. */
  readonly onOverloaded: () => void;
  readonly onEnd: () => void;
}

export type AdmissionOutcome =
  | { readonly kind: 'ok'; readonly permit: AdmissionPermit }
  | { readonly kind: 'error'; readonly error: ServeError };

/** Decides whether and when a request runs: first by its limits, then by the service's fair queue. */
export interface Admission {
  readonly admit: (request: AdmissionRequest, signal?: AbortSignal) => Promise<AdmissionOutcome>;
  /** Called when a part of a service's engines is lost at once; `remainingRatio` of them is left. */
  readonly onCapacityLost: (service: ServiceName, remainingRatio: number) => void;
  readonly start: () => void;
  readonly stop: () => void;
}

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly shares: Pick<QuotaShares, 'acquire'>;
  readonly metrics: Metrics;
  readonly controllerSettings?: AdmissionSettings;
}

interface WaitingRequest {
  readonly settle: (error: ServeError | undefined) => void;
}

/** Moving averages over a service's requests. */
interface MeanDurations {
  firstTokenMs: number;
  tokenIntervalMs: number;
  tokenCount: number;
}

const DEFAULT_CONTROLLER_SETTINGS: AdmissionSettings = {
  queue: { maxWaiting: 1_024, maxWaitingPerCustomer: 256 },
  concurrency: { initial: 64, min: 4, max: 4_096, targetDelayMs: 100 },
};
const TICK_MS = 100;
/** First-token target (docs/design.md); only time beyond it counts as queueing delay at engines. */
const FIRST_TOKEN_TARGET_MS = 370;
const NEWEST_DURATION_WEIGHT = 0.05;
const INITIAL_DURATIONS: MeanDurations = {
  firstTokenMs: 200,
  tokenIntervalMs: 20,
  tokenCount: 200,
};

export function createAdmission(options: AdmissionOptions): Admission {
  const { clock, shares } = options;
  const controllers = new Map<ServiceName, AdmissionController<WaitingRequest>>();
  const durations = new Map<ServiceName, MeanDurations>();
  let stopTicks: (() => void) | undefined;
  const refusals = options.metrics.counter(
    'mimosamill_admission_refused_total',
    'Requests refused before they ran',
    ['service', 'reason'],
  );

  function controllerOf(service: ServiceName): AdmissionController<WaitingRequest> {
    const existing = controllers.get(service);
    if (existing !== undefined) return existing;
    const created = createAdmissionController<WaitingRequest>(
      options.controllerSettings ?? DEFAULT_CONTROLLER_SETTINGS,
    );
    controllers.set(service, created);
    return created;
  }

  function durationsOf(service: ServiceName): MeanDurations {
    const existing = durations.get(service);
    if (existing !== undefined) return existing;
    const created = { ...INITIAL_DURATIONS };
    durations.set(service, created);
    return created;
  }

  function perform(
    service: ServiceName,
    effects: readonly AdmissionEffect<WaitingRequest>[],
  ): void {
    effects.forEach((effect) => {
      if (effect.kind === 'start') {
        effect.item.settle(undefined);
        return;
      }
      const { reason, retryAfterMs } = effect;
      refusals.inc({ service, reason });
      effect.item.settle(
        createServeError('overloaded', `the service is busy: ${reason}`, 'not_run', retryAfterMs),
      );
    });
  }

  /** Acquires a permit for every scope of a request, or for none. */
  async function acquire(
    request: AdmissionRequest,
  ): Promise<{ permits: Permit[]; error?: ServeError }> {
    const permits: Permit[] = [];
    for (const scope of request.scopes) {
      const outcome = await shares.acquire(scope, request.maxTokens);
      if (outcome.kind === 'limited') {
        permits.forEach((permit) => permit.onEnd(clock.monotonicMs()));
        refusals.inc({ service: request.service, reason: outcome.dimension });
        const message = `${scope} is over its limit of ${outcome.dimension}`;
        const error = createServeError('over_limit', message, 'not_run', outcome.retryAfterMs);
        return { permits: [], error };
      }
      permits.push(outcome.permit);
    }
    return { permits };
  }

  function waitForTurn(
    request: AdmissionRequest,
    signal: AbortSignal | undefined,
  ): Promise<ServeError | undefined> {
    const { service } = request;
    const controller = controllerOf(service);
    const { firstTokenMs, tokenIntervalMs, tokenCount } = durationsOf(service);
    const expectedTokens = Math.min(request.maxTokens, tokenCount);
    return new Promise((resolve) => {
      const waitingRequest: WaitingRequest = { settle: resolve };
      const callerLeft = createServeError(
        'request_timeout',
        'the caller disconnected before the request ran',
        'not_run',
      );
      if (signal?.aborted === true) {
        resolve(callerLeft);
        return;
      }
      const onAbort = (): void => {
        if (controller.cancelWaiting(waitingRequest)) resolve(callerLeft);
      };
      signal?.addEventListener('abort', onAbort, { once: true });
      const queued = {
        customer: request.customer,
        weight: request.weight,
        priority: request.priority,
        deadlineAtMs: request.deadlineAtMs,
        expectedDurationMs: firstTokenMs + expectedTokens * tokenIntervalMs,
        cost: Math.max(1, expectedTokens),
        item: waitingRequest,
      };
      perform(service, controller.submit(queued, clock.monotonicMs()));
    });
  }

  function createPermit(request: AdmissionRequest, permits: readonly Permit[]): AdmissionPermit {
    const { service } = request;
    const controller = controllerOf(service);
    const startedAtMs = clock.monotonicMs();
    let firstTokenAtMs: number | undefined;
    let tokens = 0;
    let hasEnded = false;

    function updateMeanDurations(nowMs: number): void {
      if (firstTokenAtMs === undefined || tokens < 2) return;
      const means = durationsOf(service);
      const tokenMs = (nowMs - firstTokenAtMs) / (tokens - 1);
      means.firstTokenMs +=
        NEWEST_DURATION_WEIGHT * (firstTokenAtMs - startedAtMs - means.firstTokenMs);
      means.tokenIntervalMs += NEWEST_DURATION_WEIGHT * (tokenMs - means.tokenIntervalMs);
      means.tokenCount += NEWEST_DURATION_WEIGHT * (tokens - means.tokenCount);
    }

    return {
      onFirstToken: () => {
        if (firstTokenAtMs !== undefined) return;
        const nowMs = clock.monotonicMs();
        firstTokenAtMs = nowMs;
        const delayMs = Math.max(0, nowMs - startedAtMs - FIRST_TOKEN_TARGET_MS);
        perform(service, controller.onDelay(delayMs, nowMs));
      },
      onTokens: (count) => {
        tokens += count;
        permits.forEach((permit) => permit.onTokens(count, clock.monotonicMs()));
      },
      onOverloaded: () => controller.onBackendRefusal(clock.monotonicMs()),
      onEnd: () => {
        if (hasEnded) return;
        hasEnded = true;
        const nowMs = clock.monotonicMs();
        updateMeanDurations(nowMs);
        permits.forEach((permit) => permit.onEnd(nowMs));
        perform(service, controller.onEnd(nowMs));
      },
    };
  }

  return {
    admit: async (request, signal) => {
      const { permits, error } = await acquire(request);
      if (error !== undefined) return { kind: 'error', error };
      const refusal = await waitForTurn(request, signal);
      if (refusal === undefined) return { kind: 'ok', permit: createPermit(request, permits) };
      permits.forEach((permit) => permit.onEnd(clock.monotonicMs()));
      return { kind: 'error', error: refusal };
    },
    onCapacityLost: (service, remainingRatio) =>
      controllerOf(service).onCapacityLost(remainingRatio, clock.monotonicMs()),
    start: () => {
      stopTicks = clock.runEvery(TICK_MS, () => {
        controllers.forEach((controller, service) =>
          perform(service, controller.tick(clock.monotonicMs())),
        );
      });
    },
    stop: () => stopTicks?.(),
  };
}
