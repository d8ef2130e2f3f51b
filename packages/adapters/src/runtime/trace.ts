import {
  defaultTextMapGetter,
  defaultTextMapSetter,
  ROOT_CONTEXT,
  SpanStatusCode,
  trace,
} from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type { Attributes, Span } from '@opentelemetry/api';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';

/** Span of one hop or attempt of a request. */
export interface TraceSpan {
  /** Value of the W3C `traceparent` header for the next hop. */
  readonly traceparent: string;
  readonly startChild: (name: string, attributes?: Attributes) => TraceSpan;
  readonly setAttributes: (attributes: Attributes) => void;
  readonly end: (failure?: string) => void;
}

export interface Tracer {
  /** Starts a span: a child of the caller's if `traceparent` is valid, else the root of a trace. */
  readonly start: (
    name: string,
    traceparent: string | undefined,
    attributes?: Attributes,
  ) => TraceSpan;
  readonly shutdown: () => Promise<void>;
}

export interface TraceSettings {
  /** Share of new traces that is recorded. For a caller's trace, the caller's decision applies. */
  readonly sampleRatio: number;
  /** Receives the finished spans. Without it, no span is recorded. */
  readonly onSpans?: (spans: readonly FinishedSpan[]) => void;
}

export interface FinishedSpan {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string;
  readonly name: string;
  readonly startMs: number;
  readonly durationMs: number;
  readonly attributes: Attributes;
  readonly failure: string;
}

const propagator = new W3CTraceContextPropagator();

/** Creates a tracer on the OpenTelemetry SDK. */
export function createTracer(service: string, settings: TraceSettings): Tracer {
  const { onSpans } = settings;
  const provider = new BasicTracerProvider({
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(settings.sampleRatio) }),
    spanProcessors: onSpans === undefined ? [] : [new BatchSpanProcessor(createExporter(onSpans))],
  });
  const tracer = provider.getTracer(service);

  function wrap(span: Span): TraceSpan {
    const context = trace.setSpan(ROOT_CONTEXT, span);
    const carrier: Record<string, string> = {};
    propagator.inject(context, carrier, defaultTextMapSetter);
    return {
      traceparent: carrier['traceparent'] ?? '',
      startChild: (name, attributes = {}) => wrap(tracer.startSpan(name, { attributes }, context)),
      setAttributes: (attributes) => {
        span.setAttributes(attributes);
      },
      end: (failure) => {
        if (failure !== undefined) {
          span.setStatus({ code: SpanStatusCode.ERROR, message: failure });
        }
        span.end();
      },
    };
  }

  return {
    start: (name, traceparent, attributes = {}) => {
      const carrier = traceparent === undefined ? {} : { traceparent };
      const context = propagator.extract(ROOT_CONTEXT, carrier, defaultTextMapGetter);
      return wrap(tracer.startSpan(name, { attributes }, context));
    },
    shutdown: () => provider.shutdown(),
  };
}

function createExporter(onSpans: (spans: readonly FinishedSpan[]) => void): SpanExporter {
  return {
    export: (spans, done) => {
      onSpans(spans.map(toFinishedSpan));
      done({ code: 0 });
    },
    shutdown: () => Promise.resolve(),
  };
}

function toFinishedSpan(span: ReadableSpan): FinishedSpan {
  const { traceId, spanId } = span.spanContext();
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId ?? '',
    name: span.name,
    startMs: span.startTime[0] * 1000 + span.startTime[1] / 1e6,
    durationMs: span.duration[0] * 1000 + span.duration[1] / 1e6,
    attributes: span.attributes,
    failure: span.status.message ?? '',
  };
}
