import { getOwnEntry } from './change';
import { isRecord } from './validator';
import type { FleetConfig } from './model';

export interface FieldDiff {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

export interface EntryDiff {
  readonly section: ConfigSection;
  readonly id: string;
  readonly kind: 'added' | 'removed' | 'changed';
  readonly fields: readonly FieldDiff[];
}

export type ConfigSection = 'defaults' | 'exceptions' | 'services' | 'customers' | 'teams';

export const CONFIG_SECTIONS: readonly ConfigSection[] = [
  'defaults',
  'exceptions',
  'services',
  'customers',
  'teams',
];

/** What differs between two configurations, by section and id. */
export function diffConfigs(before: FleetConfig, after: FleetConfig): EntryDiff[] {
  return CONFIG_SECTIONS.flatMap((section) => diffSection(section, before, after));
}

function diffSection(section: ConfigSection, before: FleetConfig, after: FleetConfig): EntryDiff[] {
  const old: Readonly<Record<string, unknown>> = { ...before[section] };
  const now: Readonly<Record<string, unknown>> = { ...after[section] };
  const ids = [...new Set([...Object.keys(old), ...Object.keys(now)])].sort();
  return ids.flatMap((id) => {
    const a = getOwnEntry(old, id);
    const b = getOwnEntry(now, id);
    if (a === b) return [];
    const changed = diffValues(a, b, '');
    if (changed.length === 0) return [];
    return [{ section, id, kind: diffKind(a, b), fields: changed }];
  });
}

function diffKind(before: unknown, after: unknown): EntryDiff['kind'] {
  if (before === undefined) return 'added';
  return after === undefined ? 'removed' : 'changed';
}

function diffValues(before: unknown, after: unknown, path: string): FieldDiff[] {
  if (isRecord(before ?? after) && isComparable(before) && isComparable(after)) {
    const old = before ?? {};
    const now = after ?? {};
    const keys = [...new Set([...Object.keys(old), ...Object.keys(now)])].sort();
    return keys.flatMap((key) =>
      diffValues(
        getOwnEntry(old, key),
        getOwnEntry(now, key),
        path === '' ? key : `${path}.${key}`,
      ),
    );
  }
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  return [{ path, before: before ?? null, after: after ?? null }];
}

/** An absent object is compared field by field like an empty one. */
function isComparable(value: unknown): value is Readonly<Record<string, unknown>> | undefined {
  return value === undefined || isRecord(value);
}
