import type { PriorityClass } from './priority';

/**
 * How urgently an engine is to serve a request, the most urgent class first. 'ordinary' is what
 * engines assume of a request that states nothing.
 */
export type Urgency = 'urgent_begun' | 'begun' | 'urgent' | 'raised' | 'ordinary';

/** What decides the urgency of one send of a stream. */
export interface UrgencyInput {
  /** Undefined if the streams of the service are not to be ordered at engines. */
  readonly priorityClass: PriorityClass | undefined;
  /** The caller has events of the stream from this router. */
  readonly hasBegun: boolean;
  /** The caller asks for the rest of a stream of which it has events. */
  readonly isResumed: boolean;
}

/**
 * Answers a crowd of streams of several priorities at engines that are full: they serve more urgent
 * streams first and preempt the least urgent ones. A begun stream goes before new ones, also of a
 * higher priority: its caller allows a gap of less than a second, and a new one has its target time.
 */
export function urgencyOf({ priorityClass, hasBegun, isResumed }: UrgencyInput): Urgency {
  if (priorityClass === undefined) return hasBegun ? 'begun' : 'ordinary';
  const { level, levels } = priorityClass;
  if (hasBegun || isResumed) return level === 0 ? 'urgent_begun' : 'begun';
  if (level === 0) return 'urgent';
  return level < levels - 1 ? 'raised' : 'ordinary';
}
