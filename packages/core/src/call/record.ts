import * as z from 'zod';
import type { CustomerId, ServiceName } from '../ids';

/**
 * 'claimed': one router may send the call. 'done': it ran, the answer is recorded. 'released': it
 * certainly was not sent and may be claimed again. 'unknown': it was sent and no answer came back.
 */
export type CallState = 'claimed' | 'done' | 'released' | 'unknown';

const CALL_RECORD_SCHEMA = z.object({
  state: z.enum(['claimed', 'done', 'released', 'unknown']),
  attemptId: z.string(),
  routerId: z.string(),
  requestId: z.string(),
  operation: z.string(),
  bodyHash: z.string(),
  atMs: z.number(),
  status: z.number().exactOptional(),
  /** Left out if the answer was too large for a row. */
  body: z.string().exactOptional(),
});

/** The row of a keyed call. */
export type CallRecord = z.infer<typeof CALL_RECORD_SCHEMA>;

/** A record with the version of its row, on which a later write is conditional. */
export interface VersionedRecord {
  readonly version: number;
  readonly record: CallRecord;
}

/**
 * Expiry of a call's row. Callers resend for minutes and operators reconcile within a day; a key
 * that came back after its row had expired would run again, so the row outlives both by far.
 */
export const CALL_EXPIRY_MS = 14 * 24 * 3_600_000;

/** Answers above this size are not recorded; a resend learns that the call ran, not its answer. */
export const RECORDED_BODY_MAX_CHARS = 65_536;

/** Key of a call's row. The customer is part of it, so that customers never share a key. */
export function callRowKey(service: ServiceName, customerId: CustomerId, key: string): string {
  return `call/${[service, customerId, key].map(encodeURIComponent).join('/')}`;
}

/** The key that the service sees; it differs between customers that choose the same key. */
export function callServiceKey(customerId: CustomerId, key: string): string {
  return `${encodeURIComponent(customerId)}/${encodeURIComponent(key)}`;
}

/** Reads a row's value; undefined if it is not a call record. */
export function parseCallRecord(value: unknown): CallRecord | undefined {
  const parsed = CALL_RECORD_SCHEMA.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
