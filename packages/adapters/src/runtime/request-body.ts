import { progressDueAtMs, SMALL_CLAIM_BYTES } from '@mimosamill/core';
import { createBodyBuffer } from './body-buffer';
import { noteReceivedBytes } from './buffer-collection';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryBudget, MemoryClaim } from '@mimosamill/core';

/** Reads the bodies of all requests of a process. */
export interface BodyReader {
  /** Reads a body of at most `maxBytes`, as long as the budget has room for it. */
  readonly read: (req: IncomingMessage, maxBytes: number) => Promise<BodyOutcome>;
}

export type BodyOutcome =
  /** The claim covers the body and the running request; its holder releases it. */
  | { readonly kind: 'ok'; readonly bytes: Buffer | undefined; readonly claim: MemoryClaim }
  | { readonly kind: 'too_large' }
  /** The process holds as much as it may. */
  | { readonly kind: 'no_room' }
  /** The body arrived so slowly that its room was given to others. */
  | { readonly kind: 'too_slow' }
  /** The body comes in very small chunks, as several others do. */
  | { readonly kind: 'fragmented' }
  /** The caller disconnected before its whole body had arrived. */
  | { readonly kind: 'gone' };

/** Memory that a running request needs beside its body. */
const REQUEST_BYTES = 16_384;
/** Period at which a claim notes that its body still arrives; a fraction of the time after which it is slow. */
const CLAIM_PERIOD_MS = 100;
/** Chunks after which their mean size is looked at, and the size below which they cost more than their bytes. */
const FRAGMENTED_MIN_CHUNKS = 4_096;
const FRAGMENTED_MEAN_BYTES = 32;
/**
 * Such bodies that are read at once. Each read of 64 KiB from a connection takes 14 ms of processor time then,
 * and a crowd of them would keep the process from all others.
 */
const FRAGMENTED_MAX = 2;
/** Time in which a caller can read a refusal before its connection is closed. */
export const LINGERING_CLOSE_MS = 2_000;
/** Bytes of a refused body that are read and discarded meanwhile, so that the refusal is not lost. */
const DISCARD_MAX_BYTES = 4_194_304;
/** What a discarded chunk costs beside its bytes, in processor time of so many bytes. */
const DISCARD_CHUNK_BYTES = 512;

/** Responses to requests that wait for "100 Continue" before they send their body. */
const awaitingContinue = new WeakMap<IncomingMessage, ServerResponse>();

/** The body will be asked for when it is read, and not before: it may be refused without that. */
export function deferContinue(req: IncomingMessage, res: ServerResponse): void {
  awaitingContinue.set(req, res);
}

/** Length of the body as announced; undefined if it comes in chunks. */
function announcedBytes(req: IncomingMessage): number | undefined {
  if (req.headers['transfer-encoding'] !== undefined) return undefined;
  return Number(req.headers['content-length'] ?? 0);
}

/** Whether so much of the body may still arrive that the connection is not worth keeping for it. */
export function isBodyOutstanding(req: IncomingMessage): boolean {
  if (req.complete) return false;
  return awaitingContinue.has(req) || (announcedBytes(req) ?? Infinity) > SMALL_CLAIM_BYTES;
}

export function createBodyReader(budget: MemoryBudget, monotonicMs: () => number): BodyReader {
  let fragmentedCount = 0;

  function read(req: IncomingMessage, maxBytes: number): Promise<BodyOutcome> {
    const startedAtMs = monotonicMs();
    const announced = announcedBytes(req);
    return new Promise((resolve) => {
      const body = createBodyBuffer(announced, maxBytes);
      let sizeBytes = 0;
      let chunkCount = 0;
      let isFragmented = false;
      let isOver = false;
      let claimedAtMs = -Infinity;
      let claimedBytes = 0;
      const claim = budget.open('request', () => finish({ kind: 'too_slow' }));

      function finish(outcome: BodyOutcome): void {
        if (isOver) return;
        isOver = true;
        if (isFragmented) fragmentedCount -= 1;
        if (outcome.kind !== 'ok') claim.release();
        req.off('data', onData);
        req.off('end', onEnd);
        req.off('close', onClose);
        resolve(outcome);
      }

      function claimBytes(capacity: number): boolean {
        claimedAtMs = monotonicMs();
        claimedBytes = capacity;
        const dueAtMs = progressDueAtMs(startedAtMs, sizeBytes, claimedAtMs);
        return claim.resize(capacity + REQUEST_BYTES, claimedAtMs, dueAtMs);
      }

      /** A single such body is served; past a few at once, the others are refused. */
      function isOneTooMany(): boolean {
        const meanBytes = sizeBytes / chunkCount;
        if (isFragmented || chunkCount % FRAGMENTED_MIN_CHUNKS !== 0) return false;
        if (meanBytes >= FRAGMENTED_MEAN_BYTES) return false;
        if (fragmentedCount >= FRAGMENTED_MAX) return true;
        isFragmented = true;
        fragmentedCount += 1;
        return false;
      }

      function onData(chunk: Buffer): void {
        if (sizeBytes + chunk.length > maxBytes) return finish({ kind: 'too_large' });
        const capacity = body.capacityWith(chunk.length);
        sizeBytes += chunk.length;
        chunkCount += 1;
        if (isOneTooMany()) return finish({ kind: 'fragmented' });
        if (sizeBytes > SMALL_CLAIM_BYTES) noteReceivedBytes(chunk.length);
        // A claim for each chunk would cost much of the time that a body in one-byte chunks takes.
        const isClaimed =
          capacity === claimedBytes && monotonicMs() - claimedAtMs < CLAIM_PERIOD_MS;
        if (!isClaimed && !claimBytes(capacity)) return finish({ kind: 'no_room' });
        body.add(chunk);
      }

      function onEnd(): void {
        const hasBody = sizeBytes > 0 || req.headers['content-length'] !== undefined;
        // What has arrived completely is not taken back.
        claim.resize(body.capacityWith(0) + REQUEST_BYTES, monotonicMs());
        finish({ kind: 'ok', bytes: hasBody ? body.bytes() : undefined, claim });
      }

      function onClose(): void {
        finish({ kind: 'gone' });
      }

      if (req.destroyed) return finish({ kind: 'gone' });
      if ((announced ?? 0) > maxBytes) return finish({ kind: 'too_large' });
      if (!claimBytes(announced ?? 0)) return finish({ kind: 'no_room' });
      awaitingContinue.get(req)?.writeContinue();
      awaitingContinue.delete(req);
      req.on('data', onData);
      req.on('end', onEnd);
      req.on('close', onClose);
    });
  }

  return { read };
}

/**
 * Sends a complete response to a request whose body is still arriving, reads on for a while so that closing
 * does not reset the connection before the caller has the response, and closes it.
 */
export function respondBeforeBody(res: ServerResponse, text: string): void {
  const { req } = res;
  let discardedBytes = 0;
  res.write(text);
  const timer = setTimeout(() => res.destroy(), LINGERING_CLOSE_MS);
  const finish = (): void => {
    clearTimeout(timer);
    res.end();
  };
  req.on('data', (chunk: Buffer) => {
    noteReceivedBytes(chunk.length);
    discardedBytes += chunk.length + DISCARD_CHUNK_BYTES;
    if (discardedBytes > DISCARD_MAX_BYTES) res.destroy();
  });
  req.once('end', finish);
  req.once('close', finish);
}
