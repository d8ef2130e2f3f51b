import type { MoveId, ServiceName, VersionName } from '../ids';

/** The row `moves/ID` of a version move. It no longer changes after the move has ended. */
export interface MoveRecord {
  readonly id: MoveId;
  readonly service: ServiceName;
  readonly fromVersion: VersionName;
  readonly toVersion: VersionName;
  /** Deadline of the move, in wall-clock time. */
  readonly byMs: number;
  readonly state: 'running' | 'done' | 'taken_back' | 'cancelled';
  readonly reason: string;
  readonly orderedBy: string;
  readonly orderedAtMs: number;
  readonly endedAtMs?: number;
  /** Traffic share of the new version in the latest step. */
  readonly stepShareRatio: number;
}
