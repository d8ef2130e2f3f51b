import type { MoveId, ServiceName, VersionName } from '../ids';

export type MoveState = 'running' | 'done' | 'taken_back' | 'cancelled';

/** A version move, stored as the row `moves/ID`. Only 'running' may change to another state. */
export interface MoveRecord {
  readonly id: MoveId;
  readonly service: ServiceName;
  readonly fromVersion: VersionName;
  readonly toVersion: VersionName;
  /** Time by which the move has to be done. */
  readonly byMs: number;
  readonly state: MoveState;
  /** Why the move was ordered and, once it has ended, why it ended. */
  readonly reason: string;
  readonly orderedBy: string;
  readonly orderedAtMs: number;
  /** Null while the move is running. */
  readonly endedAtMs: number | null;
  /** Share of the service's traffic that the new version receives. */
  readonly stepShareRatio: number;
}
