import * as z from 'zod';
import type { Withdrawal } from '@mimosamill/core';

/** Cells of a message: 30 routes at three load levels over three epochs, in base64. */
const MAX_BUCKETS_CHARS = 20_000;
const MAX_DEATHS = 64;
const MAX_NAME_CHARS = 200;

const nameSchema = z.string().min(1).max(MAX_NAME_CHARS);

/** Evidence of one router about one move. */
export const evidenceSchema = z.object({
  moveId: nameSchema,
  service: nameSchema,
  version: nameSchema,
  fallback: nameSchema,
  startMs: z.number(),
  byMs: z.number(),
  routeCount: z.number().int().positive(),
  routerId: nameSchema,
  /** Cells as packed by `encodeCells`, in base64. */
  cells: z.string().max(MAX_BUCKETS_CHARS),
  deaths: z
    .array(
      z.object({
        engineId: nameSchema,
        isNew: z.boolean(),
        newEngineRatio: z.number().min(0).max(1),
        epoch: z.number().int().min(0),
      }),
    )
    .max(MAX_DEATHS),
});

export type EvidenceMessage = z.infer<typeof evidenceSchema>;

/** The answer carries all withdrawals, which are one per move. */
export interface EvidenceReply {
  readonly withdrawals: readonly Withdrawal[];
}
