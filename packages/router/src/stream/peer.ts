import { asAttemptNo, asId } from '@mimosamill/core';
import { pack, unpack } from 'msgpackr';
import * as z from 'zod';
import { parseBinaryInput } from '../peer/binary';
import { createPeerRouter, peerProcedure } from '../peer/trpc';
import type {
  FinishReason,
  HeldReplica,
  ReplicaAnswer,
  ReplicaBatch,
  ReplicaMetadata,
  RequestId,
} from '@mimosamill/core';

/** What the replicas do for calling peers. */
export interface ReplicaHandlers {
  readonly onBatch: (batch: ReplicaBatch) => ReplicaAnswer;
  readonly find: (requestId: RequestId) => HeldReplica | undefined;
  /** Gives up a stream of this router; undefined if it does not run here. */
  readonly release: (requestId: RequestId) => HeldReplica | undefined;
}

const MAX_TEXT_CHARS = 65_536;

const idSchema = z.string().max(256);
const countSchema = z.number().int().nonnegative();
const textsSchema = z.array(z.string().max(MAX_TEXT_CHARS));
/** 0 for no complete answer; positions in REASONS plus one otherwise. */
const reasonCodeSchema = countSchema.max(2);

const FINISH_REASONS: readonly FinishReason[] = ['stop', 'length'];

// Arrays rather than objects, because field names would outweigh the few tokens of a message.
const metadataSchema = z.tuple([
  countSchema,
  idSchema,
  idSchema,
  idSchema,
  idSchema,
  idSchema,
  countSchema,
  countSchema,
]);
const batchSchema = z.tuple([
  idSchema,
  countSchema,
  z.array(metadataSchema),
  z.array(z.tuple([countSchema, countSchema]).rest(z.string().max(MAX_TEXT_CHARS))),
  z.array(z.tuple([countSchema, reasonCodeSchema])),
]);
const slotsSchema = z.array(countSchema);
const answerSchema = z.tuple([slotsSchema, slotsSchema, slotsSchema]);
const replicaSchema = z.tuple([idSchema, metadataSchema, textsSchema, reasonCodeSchema]);

type MetadataTuple = z.infer<typeof metadataSchema>;
type AnswerTuple = z.infer<typeof answerSchema>;
type ReplicaTuple = z.infer<typeof replicaSchema>;

/** Sub-router 'replica'. */
export function createReplicaRouter(handlers: ReplicaHandlers) {
  return createPeerRouter({
    push: peerProcedure.input(parseBinaryInput).mutation(({ input }): AnswerTuple => {
      const batch = unpackBatch(input);
      const { missing, refused, superseded } = handlers.onBatch(batch);
      return [[...missing], [...refused], [...superseded]];
    }),
    find: peerProcedure
      .input(idSchema)
      .query(({ input }) => toReplicaTuple(handlers.find(asId<RequestId>(input)))),
    release: peerProcedure
      .input(idSchema)
      .mutation(({ input }) => toReplicaTuple(handlers.release(asId<RequestId>(input)))),
  });
}

export type ReplicaRouter = ReturnType<typeof createReplicaRouter>;

export function packBatch(batch: ReplicaBatch): Uint8Array {
  return pack([
    batch.origin,
    batch.incarnation,
    batch.metadata.map((start) => packMetadata(start.slot, start)),
    batch.tails.map(({ slot, fromIndex, texts: tail }) => [slot, fromIndex, ...tail]),
    batch.ends.map(({ slot, reason }) => [slot, toReasonCode(reason)]),
  ]);
}

export function unpackBatch(bytes: Uint8Array): ReplicaBatch {
  const [origin, incarnation, starts, tails, ends] = batchSchema.parse(unpack(bytes));
  return {
    origin: asId(origin),
    incarnation,
    metadata: starts.map((tuple) => ({ slot: tuple[0], ...unpackMetadata(tuple) })),
    tails: tails.map(([slot, fromIndex, ...tail]) => ({ slot, fromIndex, texts: tail })),
    ends: ends.map(([slot, code]) => ({ slot, reason: fromReasonCode(code) })),
  };
}

export function unpackAnswer(value: unknown): ReplicaAnswer {
  const [missing, refused, superseded] = answerSchema.parse(value);
  return { missing, refused, superseded };
}

export function unpackReplica(value: unknown): HeldReplica | undefined {
  if (value === null) return undefined;
  const [origin, start, tail, code] = replicaSchema.parse(value);
  return {
    origin: asId(origin),
    metadata: unpackMetadata(start),
    texts: tail,
    reason: fromReasonCode(code),
  };
}

function toReplicaTuple(replica: HeldReplica | undefined): ReplicaTuple | null {
  if (replica === undefined) return null;
  const { origin, metadata, reason } = replica;
  return [origin, packMetadata(0, metadata), [...replica.texts], toReasonCode(reason)];
}

function packMetadata(slot: number, start: ReplicaMetadata): MetadataTuple {
  const { requestId, bodyHash, engineId, engineAddress, version, attemptNo } = start;
  const ids = [requestId, bodyHash, engineId, engineAddress, version] as const;
  return [slot, ...ids, attemptNo, start.takeoverCount];
}

function unpackMetadata(tuple: MetadataTuple): ReplicaMetadata {
  const [, requestId, bodyHash, engineId, engineAddress, version, attempt, takeoverCount] = tuple;
  return {
    requestId: asId(requestId),
    bodyHash,
    engineId: asId(engineId),
    engineAddress,
    version: asId(version),
    attemptNo: asAttemptNo(attempt),
    takeoverCount,
  };
}

function toReasonCode(reason: FinishReason | undefined): number {
  return reason === undefined ? 0 : FINISH_REASONS.indexOf(reason) + 1;
}

function fromReasonCode(code: number): FinishReason | undefined {
  return code === 0 ? undefined : FINISH_REASONS[code - 1];
}
