import type { Brand } from '../ids';

/**
 * Counts how often the store was restored from a copy. A restore takes revisions back and gives them out
 * again, so a revision means nothing without the era to which it belongs.
 */
export type StoreEra = Brand<number, 'StoreEra'>;

/** A revision of the store, or of one of its rows, in the era in which it was read. */
export interface StoreRevision {
  readonly era: StoreEra;
  readonly revision: number;
}

/** How the era of an answer compares with the newest one known before it. */
export type EraComparison = 'same' | 'newer' | 'older';

/** Knows the store's newest era. All that hold a revision of the store ask it. */
export interface StoreEras {
  readonly current: () => StoreEra;
  /** Called with the era of each answer of the store, and with those that other routers name. */
  readonly observe: (era: StoreEra) => EraComparison;
  /** Registers a callback for each restore that becomes known. */
  readonly onRestored: (listener: RestoreListener) => void;
}

export type RestoreListener = (era: StoreEra, before: StoreEra) => void;

/** Era of a store that has not named one; a store may name 0. */
export const UNKNOWN_ERA = asStoreEra(-1);

export function createStoreEras(): StoreEras {
  const listeners: RestoreListener[] = [];
  let current = UNKNOWN_ERA;

  /** Tells all listeners before it reports that one of them failed. */
  function notify(era: StoreEra, before: StoreEra): void {
    const errors: unknown[] = [];
    listeners.forEach((listener) => {
      try {
        listener(era, before);
      } catch (error) {
        errors.push(error);
      }
    });
    if (errors.length > 0) throw new AggregateError(errors, 'a listener of a restore failed');
  }

  return {
    current: () => current,
    observe: (era) => {
      if (era === current) return 'same';
      if (era < current) return 'older';
      const before = current;
      current = era;
      if (before === UNKNOWN_ERA) return 'same';
      notify(era, before);
      return 'newer';
    },
    onRestored: (listener) => {
      listeners.push(listener);
    },
  };
}

/** Casts a number that has been checked to an era. */
export function asStoreEra(value: number): StoreEra {
  return value as StoreEra;
}
