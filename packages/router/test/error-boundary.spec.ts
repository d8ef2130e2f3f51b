import { describe, expect, it } from 'vitest';
import { createServeError } from '@mimosamill/core';
import { createErrorBoundary } from '../src/error-boundary';

function createBoundary(endRequest: () => void = () => undefined) {
  const logged: string[] = [];
  const ended: string[] = [];
  const report = (cause: unknown) => {
    logged.push(String(cause));
    return createServeError('backend_failed', 'failed', 'unknown');
  };
  const boundary = createErrorBoundary(report, ({ code, runState }) => {
    ended.push(`${code} ${runState}`);
    endRequest();
  });
  return { boundary, logged, ended };
}

function fail(): void {
  throw new Error('a step fails');
}

// Guards against one request whose exception ends the process, and with it all other requests.
describe('the error boundary of a request', () => {
  it('ends the request with an unknown outcome when a step fails', () => {
    const { boundary, logged, ended } = createBoundary();
    boundary.wrap(fail)();
    expect([logged, ended]).toEqual([['Error: a step fails'], ['backend_failed unknown']]);
  });

  it('does the same for a promise that nobody waits for', async () => {
    const { boundary, ended } = createBoundary();
    boundary.watch(Promise.reject(new Error('a step fails')));
    await new Promise(setImmediate);
    expect(ended).toEqual(['backend_failed unknown']);
  });

  it('contains and logs an exception in the end of the request too', () => {
    const { boundary, logged } = createBoundary(fail);
    expect(boundary.wrap(fail)).not.toThrow();
    expect(logged).toHaveLength(2);
  });
});
