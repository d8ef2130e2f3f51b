import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { CONTROL_BUDGET, DESIGN_SCALE, TABLE_BUDGET } from '../src/measure/scale';

const PAGE = join(import.meta.dirname, '../../../docs/CAPACITY.md');

/** Rows `| input | value | `key` |` of the page's first table. */
function readInputs(): Record<string, number> {
  const rows = readFileSync(PAGE, 'utf8').matchAll(/^\| [^|]+ \| ([\d.,]+) \| `(\w+)` \|$/gmu);
  return Object.fromEntries(
    [...rows].map(([, value = '', key = '']) => [key, Number(value.replaceAll(',', ''))]),
  );
}

describe('the capacity page', () => {
  // Guards against a capacity page whose figures rest on other inputs than the measurements use.
  it('names the inputs that the measurements use', () => {
    expect(readInputs()).toEqual({ ...DESIGN_SCALE, ...CONTROL_BUDGET, ...TABLE_BUDGET });
  });
});
