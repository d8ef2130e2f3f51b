import type { Metrics } from '@mimosamill/adapters';

/** Metrics of forwarded traffic; no label takes values from requests, which bounds the time series. */
export interface ForwardMetrics {
  readonly onAnswer: (kind: string, outcome: string, tookMs: number) => void;
  readonly onSend: (kind: string, cause: string) => void;
  readonly onAdmission: (decision: 'wait' | 'yields' | 'late') => void;
  readonly onLoss: (loss: string) => void;
  /** A connection timed out, by what was slow. */
  readonly onConnectTimeout: (slow: 'host' | 'server') => void;
  /** `size` is undefined while the prompts of the service are of about the same size. */
  readonly onFirstEvent: (tookMs: number, size: 'long' | 'short' | undefined) => void;
  readonly onResumeGap: (gapMs: number) => void;
  readonly onDepartingSend: (state: string) => void;
  readonly onBodyRefused: (reason: string) => void;
  readonly onServerNotice: (notice: 'leaving' | 'retry_after') => void;
}

const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];
const GAP_BUCKETS_MS = [50, 100, 200, 300, 400, 500, 600, 700, 1_000, 2_000, 4_000];

export function createForwardMetrics(metrics: Metrics): ForwardMetrics {
  const answers = metrics.histogram(
    'mimosamill_forward_answer_ms',
    'Time from a request to the end of its answer in milliseconds',
    LATENCY_BUCKETS_MS,
    ['kind', 'outcome'],
  );
  const sends = metrics.counter(
    'mimosamill_forward_sends_total',
    'Attempts sent to backend servers, by what caused them',
    ['kind', 'cause'],
  );
  const admissions = metrics.counter(
    'mimosamill_forward_admissions_total',
    'Streams that were not sent at once, by what was decided: to wait, or why they were refused',
    ['decision'],
  );
  const losses = metrics.counter(
    'mimosamill_forward_losses_total',
    'Attempts that ended without finishing their request',
    ['loss'],
  );
  const connectTimeouts = metrics.counter(
    'mimosamill_forward_connect_timeouts_total',
    'Connections to backend servers that timed out, by whether the server or this host was slow',
    ['slow'],
  );
  const firstEvents = metrics.histogram(
    'mimosamill_forward_first_event_ms',
    'Time from a stream request to its first event in milliseconds',
    LATENCY_BUCKETS_MS,
  );
  const sizedFirstEvents = metrics.histogram(
    'mimosamill_forward_first_event_by_size_ms',
    'Time from a stream request to its first event in milliseconds, where prompts differ a lot in size',
    LATENCY_BUCKETS_MS,
    ['size'],
  );
  const gaps = metrics.histogram(
    'mimosamill_forward_resume_gap_ms',
    'Pause between the events before and after a stream moved, in milliseconds',
    GAP_BUCKETS_MS,
  );
  const departingSends = metrics.counter(
    'mimosamill_forward_departing_sends_total',
    'Attempts sent to servers that were leaving, no longer listed or of uncertain state',
    ['state'],
  );
  const bodiesRefused = metrics.counter(
    'mimosamill_forward_bodies_refused_total',
    'Requests refused before their body had arrived, by reason',
    ['reason'],
  );
  const notices = metrics.counter(
    'mimosamill_forward_server_notices_total',
    'Times that a backend server newly said something of itself in an answer, by what it said',
    ['notice'],
  );
  return {
    onAnswer: (kind, outcome, tookMs) => answers.observe({ kind, outcome }, tookMs),
    onSend: (kind, cause) => sends.inc({ kind, cause }),
    onAdmission: (decision) => admissions.inc({ decision }),
    onLoss: (loss) => losses.inc({ loss }),
    onConnectTimeout: (slow) => connectTimeouts.inc({ slow }),
    onFirstEvent: (tookMs, size) => {
      firstEvents.observe(tookMs);
      if (size !== undefined) sizedFirstEvents.observe({ size }, tookMs);
    },
    onResumeGap: (gapMs) => gaps.observe(gapMs),
    onDepartingSend: (state) => departingSends.inc({ state }),
    onBodyRefused: (reason) => bodiesRefused.inc({ reason }),
    onServerNotice: (notice) => notices.inc({ notice }),
  };
}
