import type { Hash32 } from '../hash/rendezvous';
import type { EngineId, FailureDomain, Region } from '../ids';

export type RoutePriority = 'urgent' | 'normal' | 'batch';

export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** An engine as the host list describes it. */
export interface RouteEngine {
  readonly engineId: EngineId;
  /** Engines of the same service are compared with each other to find outliers. */
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

/** The properties of a request that decide which engine serves it. */
export interface RouteRequest {
  readonly model: string;
  readonly version: string;
  /** Empty for the base model. */
  readonly adapter: string;
  readonly priority: RoutePriority;
  /** Tokens to process before the next one is generated: the prompt and any text generated so far. */
  readonly promptTokens: number;
  /** Keys of the prompt's blocks, from `toBlockKeys`; empty if unknown. */
  readonly blockKeys: readonly number[];
  /** Engines that must not be used: those of lost attempts and of other suspected requests. */
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

/** 'no_version' means that no engine is known to have the version loaded. */
export type NoEngineReason = 'no_version' | 'all_leaving' | 'all_excluded';

/** How a routed request ended; 'refused' and 'cancelled' do not count for or against the engine. */
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
  /** Prompt tokens that an engine is assumed to process per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Round trips assumed until the first is measured: own failure domain, own region, elsewhere. */
  readonly ownDomainRoundTripMs: number;
  readonly ownRegionRoundTripMs: number;
  readonly otherRegionRoundTripMs: number;
  /** Largest part of a service's engines that may be ejected at once; read at each use. */
  readonly ejectedMaxRatio: (service: string) => number;
}
