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

  it('tells its listeners of the restore of a store whose first era is 0', () => {
    const eras = createStoreEras();
    const restores: number[] = [];
    eras.onRestored((era) => restores.push(era));
    eras.observe(asStoreEra(0));
    expect(eras.observe(asStoreEra(1))).toBe('newer');
    expect(restores).toEqual([1]);
  });

  it('tells all its listeners of a restore although one of them throws', () => {
    const eras = createStoreEras();
    const restores: number[] = [];
    eras.onRestored(() => {
      throw new Error('a fault of the listener');
    });
    eras.onRestored((era) => restores.push(era));
    eras.observe(asStoreEra(1));
    expect(() => eras.observe(asStoreEra(2))).toThrow('a listener of a restore failed');
    expect([restores, eras.current()]).toEqual([[2], 2]);
  });
});
