import { describe, expect, it } from 'vitest';
import {
  asId,
  createFleet,
  createMemoryBudget,
  createResponseBuffers,
  createRetryBudget,
} from '@mimosamill/core';
import { toFields } from '@mimosamill/adapters';
import { createStreamForwarder } from '../../src/forward/stream';
import { answerMetadata } from './answer-metadata';
import { createManualClock } from './clock';
import type { ForwardServer, RequestId, ServeError, ServerId, ServiceLoad } from '@mimosamill/core';
import type { ExchangeHandler } from '@mimosamill/adapters';
import type { AdmissionTerms, ForwardPorts, ForwardRequest } from '../../src/forward/ports';
import type { StreamSink } from '../../src/forward/stream';

function engine(name: string): ForwardServer {
  return {
    serverId: asId(name),
    service: asId('engines'),
    address: `${name}:80`,
    failureDomain: asId(name.slice(0, 1)),
    version: 'v1',
    slots: 8,
    isLeaving: false,
    startedAtMs: 1,
  };
}

function nothing(): undefined {
  return undefined;
}

/** An exchange of a stream with its engine. */
interface OpenExchange {
  readonly onHead: ExchangeHandler['onHead'];
  readonly onData: (bytes: Uint8Array) => void;
  readonly onFailure: ExchangeHandler['onFailure'];
  isCancelled: boolean;
}

/**
 * Streams that may not resume, unless it is said, each sent to a given engine that accepts it and then says nothing.
 * `judgement` ends when it is known whether a broken attempt has crashed its engine.
 */
function createSilentStreams({ isResumable = false, judgement = Promise.resolve() } = {}) {
  const clock = createManualClock();
  const fleet = createFleet();
  const memory = createMemoryBudget(Infinity);
  const exchanges: OpenExchange[] = [];
  const errors: ServeError[] = [];
  let isSinkFailing = false;
  const sink = {
    writeHead: () => {
      if (isSinkFailing) throw new Error('the head cannot be written');
    },
    write: nothing,
    fail: (error: ServeError) => errors.push(error),
    abort: nothing,
  } as unknown as StreamSink;
  let load: ServiceLoad = { slotsRatio: 0, memoryRatio: 0, prefillMs: 0, hasWaiting: false };
  const logged: string[] = [];
  const log = (event: string, { request }: { readonly request?: unknown }): void => {
    logged.push(`${event} ${String(request)}`);
  };
  let nextEngineId: ServerId = asId('');
  const ports = {
    clock,
    random: () => 0,
    fleet,
    placer: {
      placeStream: () => ({
        kind: 'ok',
        engineId: nextEngineId,
        copyEngineId: undefined,
        expectedFirstEventMs: 100,
        isLightlyLoaded: true,
        paceRatio: 1,
        promptSize: undefined,
      }),
      onPrefill: nothing,
    },
    serviceLoads: { of: () => load },
    servesUrgentFirst: () => false,
    upstream: {
      send: (_request: unknown, { onSent, onHead, onData, onFailure }: ExchangeHandler) => {
        queueMicrotask(onSent);
        const exchange: OpenExchange = { onHead, onData, onFailure, isCancelled: false };
        exchanges.push(exchange);
        const cancel = (): void => {
          exchange.isCancelled = true;
        };
        return { cancel };
      },
    },
    connections: {
      timeoutMs: (usualMs: number) => usualMs,
      onTimeout: () => false,
      onWriting: nothing,
      onReceived: nothing,
      isOwnTrouble: () => false,
    },
    codec: { toServerHeaders: () => [], parseResponse: () => answerMetadata(asId('r1')) },
    decisions: { routine: log, notable: log, vital: log },
    metrics: {
      onSend: nothing,
      onAdmission: nothing,
      onAnswer: nothing,
      onLoss: nothing,
      onFirstEvent: nothing,
    },
    stateBroadcast: {
      sendSoon: nothing,
      sendLater: nothing,
      sendWithNext: nothing,
      onServerFailure: nothing,
    },
    versionMoves: {
      excludedServers: () => new Set(),
      excludedCopyHolders: () => new Set(),
      trackAttempt: () => ({ onCancelled: nothing, onGivenUp: nothing, onAnswered: nothing }),
    },
    streamDurations: { minRemainingMs: () => 0 },
    outputSizes: { onRequest: nothing, expectedTokens: () => 0 },
    responseBuffers: createResponseBuffers(memory, () => 0),
    memory,
    crashGuard: {
      findCondemned: nothing,
      onAnswered: nothing,
      onBrokenAttempt: () => judgement,
    },
    retryBudgetOf: () => createRetryBudget({ ratio: 0, burst: 5 }),
  } as unknown as ForwardPorts;
  const streams = createStreamForwarder(ports);
  return {
    clock,
    fleet,
    logged,
    exchanges,
    errors,
    setSinkFailing: () => {
      isSinkFailing = true;
    },
    setLoad: (next: ServiceLoad) => {
      load = next;
    },
    start: (requestId: string, engineId: string, admission?: AdmissionTerms) => {
      nextEngineId = asId(engineId);
      const request = {
        head: { requestId: asId<RequestId>(requestId), promptTokens: 100, sharedParts: [] },
        rawHeaders: [],
        route: {
          name: 'r',
          targetMs: 4_500,
          gapTargetMs: 700,
          attemptsMax: 3,
          isResumable,
        },
        service: { name: 'engines', engine: { slots: 8, memoryTokens: 50_000, hasBackups: false } },
        content: { fingerprint: () => `content of ${requestId}`, parts: [] },
        limitDraw: 0,
        receivedAtMs: clock.monotonicMs(),
        deadlineAtMs: clock.monotonicMs() + 20_000,
        admission,
      } as unknown as ForwardRequest;
      return streams.forward(request, sink);
    },
    advance: async (ms: number) => {
      await Promise.resolve();
      clock.advance(ms);
      await Promise.resolve();
    },
  };
}

describe('a silent engine whose stream is held', () => {
  it('makes the other streams of its failure domain wait less once the domain is suspected', async () => {
    const { clock, fleet, logged, start, advance } = createSilentStreams();
    const others = Array.from({ length: 10 }, (_, no) => engine(`b${no}`));
    const listed = ['a1', 'a2', 'a3', 'a4', 'a5'].map(engine);
    fleet.setServers([...listed, engine('a6'), engine('a7'), ...others], clock.monotonicMs());
    start('r1', 'a3');
    await advance(2_000);
    start('r2', 'a4');
    await advance(1_500);
    // Two lost engines are too few of seven to suspect the domain, but enough of five.
    fleet.onFailure(asId('a1'), 'silent', clock.monotonicMs());
    fleet.onFailure(asId('a2'), 'silent', clock.monotonicMs());
    fleet.setServers([...listed, ...others], clock.monotonicMs());
    await advance(600);
    await advance(300);
    expect(logged.filter((line) => /held|doubted/u.test(line))).toEqual([
      'stream.held r1',
      'domain.doubted r1',
      'stream.held r2',
    ]);
  });
});

describe('a stream whose connection broke', () => {
  it('goes on elsewhere only when it is known whether it crashed its engine', async () => {
    // Guards against a stream that is taken for silent meanwhile, and crashes one more engine.
    let settle = nothing as () => void;
    const judgement = new Promise<void>((resolve) => {
      settle = resolve;
    });
    const { clock, fleet, exchanges, start, advance } = createSilentStreams({
      isResumable: true,
      judgement,
    });
    fleet.setServers([engine('a1'), engine('b1')], clock.monotonicMs());
    start('r1', 'a1');
    await advance(100);
    exchanges[0]?.onFailure('broken', 'reset');
    await advance(9_000);
    expect(exchanges).toHaveLength(1);
    settle();
    for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
    expect(exchanges).toHaveLength(2);
  });
});

describe('streams of engines that send events without end', () => {
  it('are given up before they fill the memory of the router', () => {
    // Guards against a host that runs out of memory, and loses the requests of all its other callers.
    const { clock, fleet, exchanges, start } = createSilentStreams();
    fleet.setServers([engine('a1')], clock.monotonicMs());
    const streamCount = 150;
    const piece = new Uint8Array(65_536).fill(120);
    /** A small part of the smallest host's 250 MB; each stream may hold a little in any case. */
    const memoryMaxBytes = 24 * 1_048_576;
    for (let no = 0; no < streamCount; no += 1) start(`r${no}`, 'a1');
    // Less than one event may have.
    for (let pieces = 1; pieces <= 12; pieces += 1) {
      exchanges.forEach(({ onData }) => onData(piece));
      const open = exchanges.filter(({ isCancelled }) => !isCancelled);
      expect(open.length * pieces * piece.length).toBeLessThan(memoryMaxBytes);
    }
  });
});

describe('a less urgent stream while the engines of its service are full', () => {
  const full = { slotsRatio: 0.9, memoryRatio: 0.95, prefillMs: 3_600, hasWaiting: true };
  const terms = { priorityClass: { level: 1, levels: 2 }, draw: 0.99 };
  const startBusy = () => {
    const streams = createSilentStreams();
    streams.fleet.setServers([engine('a1')], streams.clock.monotonicMs());
    streams.setLoad(full);
    return streams;
  };

  it('waits unsent, and is sent when room opens', async () => {
    // Guards against streams that are held although there is room, or sent although there is none.
    const { exchanges, setLoad, start, advance, logged } = startBusy();
    start('r1', 'a1', terms);
    await advance(400);
    expect(exchanges).toHaveLength(0);
    setLoad({ ...full, prefillMs: 500 });
    await advance(200);
    expect(exchanges).toHaveLength(1);
    expect(new Set(logged)).toEqual(new Set(['stream.wait r1', 'stream.place r1']));
  });

  it('is watched for silence after its wait like a stream that was sent at once', async () => {
    // Guards against streams that stay on a silent engine until their deadline.
    const { setLoad, start, advance, logged } = startBusy();
    start('r1', 'a1', terms);
    await advance(200);
    setLoad({ ...full, prefillMs: 500 });
    // In short steps, so that the connection is made before its timeout.
    for (let step = 0; step < 100; step += 1) await advance(80);
    expect(logged).toContain('stream.held r1');
  });

  it('is refused as not run after an eighth of its target, with the time to return', async () => {
    // Guards against requests that are held until their time is up.
    const { exchanges, errors, start, advance } = startBusy();
    start('r1', 'a1', terms);
    await advance(600);
    expect(exchanges).toHaveLength(0);
    expect(errors).toMatchObject([{ code: 'overloaded', runState: 'not_run' }]);
    expect(errors[0]?.retryAfterMs).toBeGreaterThanOrEqual(250);
  });

  it('is not sent after its caller has left', async () => {
    // Guards against prompts that are read for nobody.
    const { exchanges, setLoad, start, advance } = startBusy();
    start('r1', 'a1', terms).abandon('abandoned');
    setLoad({ ...full, prefillMs: 500 });
    await advance(1_000);
    expect(exchanges).toHaveLength(0);
  });

  it('does not keep back the most urgent streams, nor those of services without an order', () => {
    // Guards against a change for deployments whose streams have one priority.
    const { exchanges, start } = startBusy();
    start('r1', 'a1', { ...terms, priorityClass: { ...terms.priorityClass, level: 0 } });
    start('r2', 'a1');
    expect(exchanges).toHaveLength(2);
  });
});

describe('a stream whose handling fails in the router', () => {
  it('ends without a success, and its engine is stopped', () => {
    // Guards against an exception in one callback that ends the process, or after which the rest of the
    // stream is written as if its beginning had been.
    const { fleet, clock, exchanges, errors, logged, start, setSinkFailing } =
      createSilentStreams();
    fleet.setServers([engine('a1')], clock.monotonicMs());
    setSinkFailing();
    start('r1', 'a1');
    const [exchange] = exchanges;
    exchange?.onHead({
      status: 200,
      fields: toFields({ 'content-type': 'text/event-stream' }),
      framing: 'chunks',
    });
    const event = (no: number) => Buffer.from(`id: ${no}\ndata: x\n\n`);
    expect(() => exchange?.onData(event(1))).not.toThrow();
    exchange?.onData(event(2));
    expect(errors).toMatchObject([{ code: 'backend_failed', runState: 'unknown' }]);
    expect(exchange?.isCancelled).toBe(true);
    expect(logged).toContain('request.handling_failed r1');
  });
});
