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

const MAX_TEXT = 65_536;

const id = z.string().max(256);
const count = z.number().int().nonnegative();
const texts = z.array(z.string().max(MAX_TEXT));
/** 0 for no complete answer; positions in REASONS plus one otherwise. */
const reasonCode = count.max(2);

const REASONS: readonly FinishReason[] = ['stop', 'length'];

// Arrays rather than objects, because field names would outweigh the few tokens of a message.
const startTuple = z.tuple([count, id, id, id, id, id, count, count]);
const batchSchema = z.tuple([
  id,
  count,
  z.array(startTuple),
  z.array(z.tuple([count, count]).rest(z.string().max(MAX_TEXT))),
  z.array(z.tuple([count, reasonCode])),
]);
const slots = z.array(count);
const answerSchema = z.tuple([slots, slots, slots]);
const replicaSchema = z.tuple([id, startTuple, texts, reasonCode]);

type StartTuple = z.infer<typeof startTuple>;
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
      .input(id)
      .query(({ input }) => toTuple(handlers.find(asId<RequestId>(input)))),
    release: peerProcedure
      .input(id)
      .mutation(({ input }) => toTuple(handlers.release(asId<RequestId>(input)))),
  });
}

export type ReplicaRouter = ReturnType<typeof createReplicaRouter>;

export function packBatch(batch: ReplicaBatch): Uint8Array {
  return pack([
    batch.origin,
    batch.incarnation,
    batch.metadata.map((start) => packStart(start.slot, start)),
    batch.tails.map(({ slot, fromIndex, texts: tail }) => [slot, fromIndex, ...tail]),
    batch.ends.map(({ slot, reason }) => [slot, codeOf(reason)]),
  ]);
}

export function unpackBatch(bytes: Uint8Array): ReplicaBatch {
  const [origin, incarnation, starts, tails, ends] = batchSchema.parse(unpack(bytes));
  return {
    origin: asId(origin),
    incarnation,
    metadata: starts.map((tuple) => ({ slot: tuple[0], ...unpackStart(tuple) })),
    tails: tails.map(([slot, fromIndex, ...tail]) => ({ slot, fromIndex, texts: tail })),
    ends: ends.map(([slot, code]) => ({ slot, reason: reasonOf(code) })),
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
    metadata: unpackStart(start),
    texts: tail,
    reason: reasonOf(code),
  };
}

function toTuple(replica: HeldReplica | undefined): ReplicaTuple | null {
  if (replica === undefined) return null;
  const { origin, metadata, reason } = replica;
  return [origin, packStart(0, metadata), [...replica.texts], codeOf(reason)];
}

function packStart(slot: number, start: ReplicaMetadata): StartTuple {
  const { requestId, bodyHash, engineId, engineAddress, version, attemptNo } = start;
  const ids = [requestId, bodyHash, engineId, engineAddress, version] as const;
  return [slot, ...ids, attemptNo, start.takeoverCount];
}

function unpackStart(tuple: StartTuple): ReplicaMetadata {
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

function codeOf(reason: FinishReason | undefined): number {
  return reason === undefined ? 0 : REASONS.indexOf(reason) + 1;
}

function reasonOf(code: number): FinishReason | undefined {
  return code === 0 ? undefined : REASONS[code - 1];
}
