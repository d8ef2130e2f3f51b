import type { ServerId, ServiceName } from '../ids';
import type { PlacementExplainer } from './placement-explain';
import type { EngineCapacity } from './types';

/** Parts of the cost by which engines and servers are compared. */
export type CostPart =
  | 'own_prefill'
  | 'peer_prefill'
  /** Reading time of the prompt beyond the usual one, by the engine's pace. */
  | 'reading'
  | 'streams'
  | 'copies'
  | 'memory'
  | 'slots'
  | 'limit'
  | 'avoided'
  | 'suspected'
  | 'uncertain'
  | 'rank'
  /** Of plain servers: requests there, pace and the outlier detector's weight. */
  | 'queue'
  | 'pace'
  | 'unhealthy';

export type CostRecorder = (part: CostPart, costMs: number) => void;

/** Requirements of the KV cache copy of one stream on its engine. */
export interface CopyPlacementInput {
  readonly service: ServiceName;
  readonly capacity: EngineCapacity;
  readonly promptTokens: number;
  /** Tokens that the answer is expected to add to the KV cache; 0 by default. */
  readonly outputTokens?: number;
  /** Engines that must hold no copy, and from whose copies the stream must not resume. */
  readonly excludedCopyHolders: ReadonlySet<ServerId>;
  /** The stream lost its engine; other streams probably lost theirs at the same moment. */
  readonly isFailover?: boolean;
  /** The stream has waited since an engine was chosen for it before. */
  readonly isRecheck?: boolean;
}

/** Requirements of one stream on its engine. */
export interface StreamPlacementInput extends CopyPlacementInput {
  /** Engines on which the stream was lost, or whose version it must not use. */
  readonly excluded: ReadonlySet<ServerId>;
  /** Draw of the request among those for engines near the limits that they named. */
  readonly limitDraw: number;
  /**
   * Engine to use, if it is already decided; only the copy's engine is chosen then. There is no
   * placement if that engine is leaving, replaced, no longer listed or an excluded copy holder.
   */
  readonly fixedEngineId?: ServerId;
}

/** Size of a prompt among those of its service; undefined while they are of about the same size. */
export type PromptSize = 'long' | 'short' | undefined;

export type StreamPlacement =
  | {
      readonly kind: 'ok';
      readonly engineId: ServerId;
      /** Engine that is to hold a copy of the KV cache; undefined if none is suitable. */
      readonly copyEngineId: ServerId | undefined;
      /** Expected time from the send to the first event. */
      readonly expectedFirstEventMs: number;
      /** The engine does no prefill now, and less than half of its slots are in use. */
      readonly isLightlyLoaded: boolean;
      /** How long work takes on the engine now, as a part of the usual time; 1 if nothing is known. */
      readonly paceRatio: number;
      readonly promptSize: PromptSize;
    }
  | { readonly kind: 'none'; readonly reason: 'unlisted' | 'excluded' };

export interface CallPlacementInput {
  readonly service: ServiceName;
  /** The call can do without this attempt: it uses up no limit that others may need. */
  readonly isOptional?: boolean;
  /** Name of the route; a server may fail on one route only. */
  readonly route: string;
  readonly excluded: ReadonlySet<ServerId>;
  /** Draw of the request among those for servers near the limits that they named. */
  readonly limitDraw: number;
}

/** Engine that did a prefill. */
export interface PrefilledEngine {
  readonly engineId: ServerId;
  /** No router was known to have another prefill there when this one was sent. */
  readonly wasIdle: boolean;
  readonly nowMs: number;
}

/** Chooses engines and servers, while many routers choose at the same time from the same state. */
export interface Placer {
  readonly placeStream: (
    input: StreamPlacementInput,
    nowMs: number,
    random: () => number,
  ) => StreamPlacement;
  /** Chooses the engine that is to hold a copy of the KV cache of a stream on `engineId`. */
  readonly placeCopy: (
    engineId: ServerId,
    input: CopyPlacementInput,
    nowMs: number,
    random: () => number,
  ) => ServerId | undefined;
  readonly placeCall: (
    input: CallPlacementInput,
    nowMs: number,
    random: () => number,
  ) => ServerId | undefined;
  readonly explain: PlacementExplainer;
  /** A prefill took this time, with no other prefill of this router ahead of it. */
  readonly onPrefill: (tokens: number, tookMs: number, engine?: PrefilledEngine) => void;
  readonly prefillMsPerToken: () => number;
  /** Streams that other routers have on an engine. */
  readonly peersRunning: (engineId: ServerId, nowMs: number) => number;
}
