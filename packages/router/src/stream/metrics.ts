import type { Metrics } from '@mimosamill/adapters';

const RESUME_BUCKETS_MS = [25, 50, 100, 200, 300, 500, 750, 1_000, 1_500, 2_000, 3_000, 5_000];

/** What is counted of all streams of a router. */
export interface StreamMetrics {
  readonly onResumeStarted: (cause: string) => void;
  readonly onResumeCompleted: (durationMs: number) => void;
  readonly onEnd: (outcome: string) => void;
}

/** Registers the counters; to be called once per router. */
export function createStreamMetrics(metrics: Metrics): StreamMetrics {
  const resumes = metrics.counter('mimosamill_stream_resumes_total', 'Attempts after the first', [
    'cause',
  ]);
  const resumeMs = metrics.histogram(
    'mimosamill_stream_resume_milliseconds',
    'Time from a noticed loss to the next token',
    RESUME_BUCKETS_MS,
  );
  const ended = metrics.counter('mimosamill_streams_ended_total', 'Streams by outcome', [
    'outcome',
  ]);
  return {
    onResumeStarted: (cause) => resumes.inc({ cause }),
    onResumeCompleted: (durationMs) => resumeMs.observe(durationMs),
    onEnd: (outcome) => ended.inc({ outcome }),
  };
}
