import { describe, expect, it } from 'vitest';
import { asStoreEra, createStoreEras } from '../../src/index';

describe('the era of the store', () => {
  it('takes the first era that it observes for the present one, and no restore', () => {
    const eras = createStoreEras();
    const restores: number[] = [];
    eras.onRestored((era) => restores.push(era));
    expect(eras.observe(asStoreEra(7))).toBe('same');
    expect(eras.current()).toBe(7);
    expect(restores).toEqual([]);
  });

  it('tells its listeners of each restore once, and never returns to an older era', () => {
    const eras = createStoreEras();
    const restores: number[][] = [];
    eras.onRestored((era, before) => restores.push([before, era]));
    const observed = [1, 1, 2, 1, 2, 4].map((era) => eras.observe(asStoreEra(era)));
    expect(observed).toEqual(['same', 'same', 'newer', 'older', 'same', 'newer']);
    expect(restores).toEqual([
      [1, 2],
      [2, 4],
    ]);
  });
});
