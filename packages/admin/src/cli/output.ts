import Table from 'cli-table3';

type TableCell = string | number;

/** Formats a table without colours, so that scripts can split its lines. */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly TableCell[])[],
): string {
  const table = new Table({
    head: [...head],
    style: { head: [], border: [], compact: true },
    wordWrap: true,
  });
  rows.forEach((row) => table.push([...row]));
  return table.toString();
}

/** Longer cells are truncated; --json prints values in full. */
const MAX_CELL_CHARS = 48;

/** Formats any value as one cell; a time is recognised by the name of its field. */
export function formatValue(value: unknown, field = ''): string {
  if (value === null || value === undefined) return '-';
  if (/[aA]tMs$|^byMs$/.test(field)) return formatTime(value);
  return truncate(formatPlain(value));
}

function formatPlain(value: unknown): string {
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.map(formatPlain).join(' ');
  if (typeof value !== 'object' || value === null) return String(value);
  const pairs = Object.entries(value).map(([key, entry]) => `${key}=${formatPlain(entry)}`);
  return pairs.join(',');
}

function truncate(text: string): string {
  return text.length > MAX_CELL_CHARS ? `${text.slice(0, MAX_CELL_CHARS - 1)}…` : text;
}

/** Formats milliseconds since 1970 as a date and time in UTC. */
export function formatTime(ms: unknown): string {
  return typeof ms === 'number'
    ? new Date(ms)
        .toISOString()
        .replace('T', ' ')
        .replace(/\.\d+Z$/, ' UTC')
    : '-';
}

export function formatPercent(ratio: unknown): string {
  return `${Math.round(Number(ratio) * 100)}%`;
}
