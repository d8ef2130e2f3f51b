import type { MoveId, ServiceName, VersionName } from '../ids';

/** The row `moves/ID`. Only a running move changes; an ended one stays as it is. */
export interface MoveRecord {
  readonly id: MoveId;
  readonly service: ServiceName;
  readonly fromVersion: VersionName;
  readonly toVersion: VersionName;
  /** Wall-clock time by which the move has to be done. */
  readonly byMs: number;
  readonly state: 'running' | 'done' | 'taken_back' | 'cancelled';
  readonly reason: string;
  readonly orderedBy: string;
  readonly orderedAtMs: number;
  readonly endedAtMs?: number;
  /** Share of the traffic that the new version was given last. */
  readonly stepShareRatio: number;
}
