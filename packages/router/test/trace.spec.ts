import { createTracer } from '@mimosamill/adapters';
import { describe, expect, it } from 'vitest';
import { traceAttempt } from '../src/call/trace';
import type { FinishedSpan } from '@mimosamill/adapters';

const CALLER = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

describe('traces of calls', () => {
  // Guards against attempts that share a span, and against a trace that ends at the router.
  it('have a span for each attempt, below the call, that the server continues', async () => {
    const spans: FinishedSpan[] = [];
    const tracer = createTracer('router', {
      sampleRatio: 0,
      onSpans: (finished) => spans.push(...finished),
    });
    const span = tracer.start('call', CALLER);
    const first = traceAttempt({ span }, '10.0.0.1:80', 1);
    const second = traceAttempt({ span }, '10.0.0.2:80', 2);
    first.end({ kind: 'unknown', message: 'reset' });
    second.end({ kind: 'ok', status: 200, body: '{}' });
    span.end();
    await tracer.shutdown();
    const call = spans.find(({ name }) => name === 'call');
    expect(call).toMatchObject({ parentSpanId: 'b7ad6b7169203331' });
    const attempts = spans.filter(({ name }) => name === 'attempt');
    expect(attempts.map(({ failure, attributes }) => [attributes['server'], failure])).toEqual([
      ['10.0.0.1:80', 'unknown'],
      ['10.0.0.2:80', ''],
    ]);
    attempts.forEach((attempt, index) => {
      expect(attempt.parentSpanId).toBe(call?.spanId);
      const { headers } = [first, second][index] ?? first;
      expect(headers.traceparent).toBe(`00-${attempt.traceId}-${attempt.spanId}-01`);
    });
  });
});
