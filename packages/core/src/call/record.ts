import * as z from 'zod';
import type { CustomerId, ServiceName } from '../ids';

/**
 * 'claimed': one router may send the call. 'done': the call ran. 'released': it was certainly not
 * sent and may be claimed again. 'unknown': it was sent, and no answer came back.
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
  /** Absent if the answer exceeded `RECORDED_BODY_MAX_CHARS`. */
  body: z.string().exactOptional(),
});

/** The value of the row of a call with an idempotency key. */
export type CallRecord = z.infer<typeof CALL_RECORD_SCHEMA>;

/** A record with the version of its row, for a conditional write. */
export interface VersionedRecord {
  readonly version: number;
  readonly record: CallRecord;
}

/**
 * Expiry of a call's row. A call that is resent after its row has expired runs again, so the row
 * far outlives the minutes for which callers resend and the day in which operators reconcile.
 */
export const CALL_EXPIRY_MS = 14 * 24 * 3_600_000;

/** Longer answers are not recorded: a resend then learns only that the call ran. */
export const RECORDED_BODY_MAX_CHARS = 65_536;

/** Key of a call's row. It contains the customer, so that no two customers share a row. */
export function callRowKey(service: ServiceName, customerId: CustomerId, key: string): string {
  return `call/${[service, customerId, key].map(encodeURIComponent).join('/')}`;
}

/** Idempotency key for the service, which differs between customers that chose the same key. */
export function callServiceKey(customerId: CustomerId, key: string): string {
  return `${encodeURIComponent(customerId)}/${encodeURIComponent(key)}`;
}

/** Parses the value of a row; undefined if it is not a call record. */
export function parseCallRecord(value: unknown): CallRecord | undefined {
  const parsed = CALL_RECORD_SCHEMA.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
