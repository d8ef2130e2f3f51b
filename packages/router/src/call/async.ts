import type { Clock } from '@mimosamill/adapters';

export interface Deferred<T> {
  readonly promise: Promise<T>;
  readonly resolve: (value: T) => void;
}

/** A promise that is resolved from outside; later resolutions have no effect. */
export function createDeferred<T>(): Deferred<T> {
  let resolve: (value: T) => void = () => undefined;
  const promise = new Promise<T>((fulfil) => {
    resolve = fulfil;
  });
  return { promise, resolve };
}

/** An outcome in place of a rejection: a client that fails tells nothing about the other side. */
export function withFallback<T>(promise: Promise<T>, fallback: T): Promise<T> {
  return promise.catch(() => fallback);
}

/** The promise's outcome, or the fallback if it takes too long or is rejected. */
export function withTimeout<T>(
  clock: Clock,
  promise: Promise<T>,
  timeoutMs: number,
  fallback: T,
): Promise<T> {
  return new Promise((resolve) => {
    const cancel = clock.runAfter(timeoutMs, () => resolve(fallback));
    void withFallback(promise, fallback).then((value) => {
      cancel();
      resolve(value);
    });
  });
}

/** A timer for the next time at which there is something to do. */
export interface WakeTimer {
  /** Replaces the time that was set before; undefined only cancels it. */
  readonly set: (atMs: number | undefined) => void;
}

export function createWakeTimer(clock: Clock, onTime: () => void): WakeTimer {
  let cancel = (): void => undefined;
  return {
    set: (atMs) => {
      cancel();
      if (atMs === undefined) return;
      cancel = clock.runAfter(Math.max(0, atMs - clock.monotonicMs()), onTime);
    },
  };
}
