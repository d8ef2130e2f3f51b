import type { Hash32 } from '../hash/rendezvous';
import type { EngineId, FailureDomain, Region } from '../ids';

export type RoutePriority = 'urgent' | 'normal' | 'batch';

export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** An engine as the directory knows it. */
export interface RouteEngine {
  readonly engineId: EngineId;
  /** Service whose engines are compared with each other. */
  readonly service: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly state: 'live' | 'leaving';
}

/** The part of an engine's load report that routing uses. */
export interface LoadReport {
  readonly state: 'live' | 'leaving';
  readonly role: EngineRole;
  readonly running: number;
  readonly queued: number;
  readonly maxRunning: number;
  readonly stepMs: number;
  readonly loaded: readonly LoadedVersion[];
  /** Time since the engine measured the report. */
  readonly reportAgeMs: number;
}

export interface LoadedVersion {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** What the picker needs to know of a request. */
export interface RouteRequest {
  readonly model: string;
  readonly version: string;
  /** Empty for the base model. */
  readonly adapter: string;
  readonly priority: RoutePriority;
  /** Prompt and prefix to be processed before the next token. */
  readonly promptTokens: number;
  /** Keys of the prompt's blocks, from `toBlockKeys`; empty if unknown. */
  readonly blockKeys: readonly number[];
  /** Engines that must not be used: lost attempts, engines of other suspects. */
  readonly excluded: ReadonlySet<EngineId>;
}

export type PickOutcome =
  | {
      readonly kind: 'ok';
      readonly engineId: EngineId;
      readonly expectedTtftMs: number;
      /** Prompt tokens that the engine is expected to have cached. */
      readonly cachedTokens: number;
    }
  | { readonly kind: 'none'; readonly reason: NoEngineReason };

/** 'no_version': no known engine has the version loaded. */
export type NoEngineReason = 'no_version' | 'all_leaving' | 'all_excluded';

/** How a send ended; 'cancelled' says nothing about the engine. */
export type RoutedRequestResult = 'ok' | 'failed' | 'refused' | 'cancelled';

/** A request sent to an engine, from `onSent` until `onEnd`. */
export interface RoutedRequest {
  readonly engineId: EngineId;
  readonly model: string;
  readonly route: string;
  readonly sentAtMs: number;
  /** Prompt tokens that the engine is expected to process. */
  readonly prefillTokens: number;
  readonly expectedTtftMs: number;
  firstTokenAtMs: number | undefined;
  hasEnded: boolean;
}

export interface EnginePickerSettings {
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly hash: Hash32;
  /** Prompt tokens per cache block. */
  readonly blockTokens: number;
  /** Prompt tokens an engine processes per millisecond before any measurement. */
  readonly prefillTokensPerMs: number;
  /** Round trip assumed until one has been measured. */
  readonly ownDomainRoundTripMs: number;
  readonly ownRegionRoundTripMs: number;
  readonly otherRegionRoundTripMs: number;
  /** Largest part of a service's engines that may be ejected at once; it may change. */
  readonly ejectedMaxRatio: (service: string) => number;
}
