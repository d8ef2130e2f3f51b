import { rankByRendezvous } from '../hash/rendezvous';
import { packedEngineCount } from './move-plan';
import type { EngineServiceConfig } from '../config/model';
import type { Hash32 } from '../hash/rendezvous';
import type { EngineId, MoveId, RequestId, VersionName } from '../ids';
import type { Withdrawals } from './withdrawals';

/**
 * 'control' requests run on the old version, are as many as those on the new one, and are packed
 * onto as many engines, so that both are compared under the same load.
 */
export type VersionGroup = 'new' | 'control' | 'other';

export type VersionChoice =
  | { readonly kind: 'ok'; readonly version: VersionName; readonly group: VersionGroup }
  /** Every version that the service could use has been withdrawn. */
  | { readonly kind: 'none' };

export interface EngineVersions {
  readonly engineId: EngineId;
  readonly versions: readonly string[];
}

const HASH_RANGE = 2 ** 32;
const NONE_FAILED: ReadonlySet<VersionName> = new Set();

/**
 * Chooses a new request's version; a request that has started stays on its version. `failed` are
 * versions that no engine has, or that failed the request before its first token.
 */
export function chooseVersion(
  service: EngineServiceConfig,
  requestId: RequestId,
  withdrawals: Withdrawals,
  hash: Hash32,
  failed: ReadonlySet<VersionName> = NONE_FAILED,
): VersionChoice {
  const { candidate } = service;
  const stable = findUsableVersion(service, withdrawals);
  if (stable === undefined) return { kind: 'none' };
  const isCandidateUsable =
    candidate !== undefined &&
    !failed.has(candidate.version) &&
    withdrawals.find(service.name, candidate.version) === undefined;
  if (!isCandidateUsable) return { kind: 'ok', version: stable, group: 'other' };
  // The move's id makes every move choose other requests.
  const position = hash(`${candidate.moveId}\u0000${requestId}`) / HASH_RANGE;
  const { shareRatio } = candidate;
  if (position < shareRatio) return { kind: 'ok', version: candidate.version, group: 'new' };
  const isControl = position < Math.min(1, 2 * shareRatio);
  return { kind: 'ok', version: stable, group: isControl ? 'control' : 'other' };
}

/** What the split of a service's engines during a move depends on. */
export interface EngineSplitInput {
  readonly engines: readonly EngineVersions[];
  readonly newVersion: VersionName;
  readonly moveId: MoveId;
  readonly shareRatio: number;
  /** Mean load of the service's engines. */
  readonly busyRatio: number;
}

/** Engines that a request of a group should not use while others can take it. */
export function enginesToAvoid(
  group: VersionGroup,
  input: EngineSplitInput,
  hash: Hash32,
): ReadonlySet<EngineId> {
  const { engines, newVersion, shareRatio, busyRatio } = input;
  const isNew = (engine: EngineVersions): boolean => engine.versions.includes(newVersion);
  const rank = (some: readonly EngineVersions[]): EngineVersions[] =>
    rankByRendezvous(input.moveId, some, (engine) => engine.engineId, hash);
  const newEngines = rank(engines.filter(isNew));
  const oldEngines = rank(engines.filter((engine) => !isNew(engine)));
  const packedCount = packedEngineCount(shareRatio, engines.length, busyRatio);
  // From half of the traffic on, there are no requests besides those two groups.
  const keptForOthers = shareRatio >= 0.5 ? 0 : 1;
  const controlCount = Math.min(packedCount, oldEngines.length - keptForOthers);
  const used = {
    new: newEngines.slice(0, packedCount),
    control: oldEngines.slice(0, controlCount),
    other: oldEngines.slice(controlCount),
  }[group];
  const usedIds = new Set(used.map((engine) => engine.engineId));
  const ids = engines.map((engine) => engine.engineId);
  return new Set(ids.filter((id) => !usedIds.has(id)));
}

function findUsableVersion(
  service: EngineServiceConfig,
  withdrawals: Withdrawals,
): VersionName | undefined {
  const seen = new Set<VersionName>();
  let version: VersionName = service.stableVersion;
  for (;;) {
    const withdrawal = withdrawals.find(service.name, version);
    if (withdrawal === undefined) return version;
    seen.add(version);
    if (seen.has(withdrawal.fallback)) return undefined;
    version = withdrawal.fallback;
  }
}
