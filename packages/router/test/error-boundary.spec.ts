import { describe, expect, it } from 'vitest';
import { createErrorBoundary } from '../../src/forward/error-boundary';
import type { DecisionLog } from '@mimosamill/adapters';

function createBoundary(endRequest: () => void = () => undefined) {
  const logged: string[] = [];
  const ended: string[] = [];
  const decisions = {
    vital: (event: string, { request }: { readonly request?: unknown }) =>
      logged.push(`${event} ${String(request)}`),
  } as unknown as DecisionLog;
  const boundary = createErrorBoundary(decisions, { request: 'r1' }, ({ code, runState }) => {
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
    expect([logged, ended]).toEqual([['request.handling_failed r1'], ['backend_failed unknown']]);
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
