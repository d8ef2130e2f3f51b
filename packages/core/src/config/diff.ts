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

/** Lists the differences between two configurations by section and id. */
export function diffConfigs(before: FleetConfig, after: FleetConfig): EntryDiff[] {
  return CONFIG_SECTIONS.flatMap((section) => diffSection(section, before, after));
}

function diffSection(section: ConfigSection, before: FleetConfig, after: FleetConfig): EntryDiff[] {
  const oldEntries: Readonly<Record<string, unknown>> = { ...before[section] };
  const newEntries: Readonly<Record<string, unknown>> = { ...after[section] };
  const ids = [...new Set([...Object.keys(oldEntries), ...Object.keys(newEntries)])].sort();
  return ids.flatMap((id) => {
    const oldValue = getOwnEntry(oldEntries, id);
    const newValue = getOwnEntry(newEntries, id);
    if (oldValue === newValue) return [];
    const changed = diffValues(oldValue, newValue, '');
    if (changed.length === 0) return [];
    return [{ section, id, kind: diffKind(oldValue, newValue), fields: changed }];
  });
}

function diffKind(before: unknown, after: unknown): EntryDiff['kind'] {
  if (before === undefined) return 'added';
  return after === undefined ? 'removed' : 'changed';
}

function diffValues(before: unknown, after: unknown, path: string): FieldDiff[] {
  if (isRecord(before ?? after) && isComparable(before) && isComparable(after)) {
    const oldEntries = before ?? {};
    const newEntries = after ?? {};
    const keys = [...new Set([...Object.keys(oldEntries), ...Object.keys(newEntries)])].sort();
    return keys.flatMap((key) =>
      diffValues(
        getOwnEntry(oldEntries, key),
        getOwnEntry(newEntries, key),
        path === '' ? key : `${path}.${key}`,
      ),
    );
  }
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  return [{ path, before: before ?? null, after: after ?? null }];
}

/** Objects are compared field by field; an absent one compares like an empty one. */
function isComparable(value: unknown): value is Readonly<Record<string, unknown>> | undefined {
  return value === undefined || isRecord(value);
}
