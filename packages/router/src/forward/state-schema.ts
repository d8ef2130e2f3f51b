import * as z from 'zod';

/** Messages of another format are ignored. */
export const MESSAGE_FORMAT = 4;

const count = z.number().nonnegative();
const serverFailure = z.enum(['refused', 'silent', 'reset', 'misdirected', 'unread']);
const answerCounts = z.object({ answers: count, bad: count });

const load = z.tuple([z.string(), count, count, count, count]);
const failure = z.tuple([z.string(), serverFailure, count, z.number()]);
const move = z.object({
  service: z.string(),
  version: z.string(),
  // Absent from a router of an earlier release.
  orderRevision: count.optional(),
  state: z.enum(['running', 'completed', 'rolled_back']),
  evidence: z.object({ fresh: answerCounts, former: answerCounts }),
});
const callCount = z.tuple([z.string(), z.string(), count, count, count]);
const serviceCount = z.tuple([z.string(), count]);
const retryTotals = z.tuple([z.string(), count, count]);

/** A server's limit; a negative age stands for no news, a negative limit for none. */
const limit = z.tuple([z.string(), z.number(), z.number(), z.array(count)]);

/** Request, server, failure domain, age, combination of parts, parts, fingerprint, whether a stream. */
const crash = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.number(),
  z.string().optional(),
  z.array(z.string()),
  // Absent from a router of an earlier release, as is the last field below.
  z.string().optional(),
  z.boolean().optional(),
]);
const suspectAnswer = z.tuple([z.string(), z.number()]);
/** Suspect, age, time for which it is condemned, whether that outweighs answers. */
const condemnedSuspect = z.tuple([
  z.string(),
  z.number(),
  z.number().optional(),
  z.boolean().optional(),
]);

/**
 * A message on the wire: an array without field names, to keep it short. Anyone can send a datagram to
 * the port, so a message is checked before any of it is used.
 */
export const stateMessageSchema = z.tuple([
  z.literal(MESSAGE_FORMAT),
  /** Host, failure domain and incarnation of the sender. */
  z.string().min(1),
  z.string(),
  z.string(),
  /** Sequence number. */
  count,
  /** Whether the sender can read the store. */
  z.boolean(),
  z.array(load),
  z.array(failure),
  z.array(move),
  z.array(callCount),
  /** Crashes, answers to suspects and condemned ones; absent from a router of an earlier release. */
  z.tuple([z.array(crash), z.array(suspectAnswer), z.array(condemnedSuspect)]).optional(),
  /** Limits of servers and demands of services; absent likewise. */
  z.tuple([z.array(limit), z.array(serviceCount)]).optional(),
  /** Requests and retries of services; absent likewise. */
  z.array(retryTotals).optional(),
  /** Servers, how long work takes there in percent of the usual time, ages; absent likewise. */
  z.array(z.tuple([z.string(), count, count])).optional(),
]);

export type StateMessage = z.infer<typeof stateMessageSchema>;
export type LimitMessage = z.infer<typeof limit>;
export type LimitsMessage = NonNullable<StateMessage[11]>;
export type CrashReportsMessage = NonNullable<StateMessage[10]>;
