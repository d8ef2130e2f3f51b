import { changedEntries } from './change';
import type { Revision } from '../ids';
import type { ConfigChange, ConfigRevision } from './change';

export type UndoPlan =
  | { readonly kind: 'ok'; readonly changes: readonly ConfigChange[] }
  /** Later revisions wrote the same entries; undoing would discard them. */
  | { readonly kind: 'overwritten'; readonly entries: readonly string[]; readonly by: Revision[] };

/** Plans a new revision that restores what `target` replaced; `later` are the revisions after it. */
export function planUndo(target: ConfigRevision, later: readonly ConfigRevision[]): UndoPlan {
  const touched = changedEntries(target.changes);
  const overlaps = later
    .map(({ revision, changes }) => ({
      revision,
      entries: changedEntries(changes).filter((entry) => touched.includes(entry)),
    }))
    .filter(({ entries }) => entries.length > 0);
  if (overlaps.length === 0) return { kind: 'ok', changes: target.inverse };
  return {
    kind: 'overwritten',
    entries: [...new Set(overlaps.flatMap(({ entries }) => entries))],
    by: overlaps.map(({ revision }) => revision),
  };
}
