import fc from 'fast-check';
import { pack, unpack } from 'msgpackr';
import { describe, expect, it } from 'vitest';
import { isStateMessage } from '../../src/forward/state-schema';
import { stateMessageSchema } from './state-message-schema';

const VALID: readonly unknown[] = [
  4,
  'host-1',
  'a',
  'x',
  7,
  true,
  [['a1', 1, 200, 0, 5_000]],
  [['a1', 'silent', 1, -3]],
  [
    {
      service: 's',
      version: 'v2',
      orderRevision: 3,
      state: 'running',
      evidence: { fresh: { answers: 1, bad: 0 }, former: { answers: 2, bad: 1 } },
    },
  ],
  [['b1', 'slots', 1, 2, 3]],
  [[['r', 'a1', 'a', 20, undefined, ['p'], 'f', true]], [['p', 9]], [['p', 9, 5_000, false]]],
  [[['a1', -1, 12, [1, 0, 2]]], [['s', 4]]],
  [['s', 10, 1]],
];

/** Values that a field may hold by mistake of a sender, or by intent of a stranger. */
const odd = fc.oneof(
  fc.constantFrom<unknown>(-1, 0, 1.5, Number.NaN, Infinity, 1n, '', 'silent', true, null),
  fc.constantFrom<unknown>(undefined, [], {}, [[]], [['a1']], 'completed', 2 ** 60, [1], ['a']),
);

/** Replaces, removes or adds the value at a place, chosen by the numbers, within nested values. */
function mutate(value: unknown, path: readonly number[], kind: string, added: unknown): unknown {
  const [step = 0, ...rest] = path;
  if (Array.isArray(value)) {
    const items: unknown[] = [...(value as unknown[])];
    const at = step % (items.length + 1);
    if (rest.length > 0 && at < items.length) items[at] = mutate(items[at], rest, kind, added);
    else if (kind === 'remove') items.splice(at, 1);
    else items.splice(at, kind === 'replace' ? 1 : 0, added);
    return items;
  }
  if (typeof value !== 'object' || value === null) return kind === 'remove' ? undefined : added;
  const entries = Object.entries(value);
  const [name = '', inner] = entries[step % entries.length] ?? [];
  if (kind === 'add') return { ...value, other: added };
  if (kind === 'remove') return Object.fromEntries(entries.filter(([other]) => other !== name));
  return { ...value, [name]: rest.length > 0 ? mutate(inner, rest, kind, added) : added };
}

describe('the check of a message from another router', () => {
  it('takes a whole message, and those of earlier releases', () => {
    expect(isStateMessage(VALID)).toBe(true);
    [10, 11, 12].forEach((length) => expect(isStateMessage(VALID.slice(0, length))).toBe(true));
  });

  it('takes the same messages as the schema, whatever a sender makes of them', () => {
    // Guards against a field that is used unchecked, and against messages of other releases that are
    // thrown away.
    const mutation = fc.record({
      path: fc.array(fc.nat({ max: 12 }), { minLength: 1, maxLength: 5 }),
      kind: fc.constantFrom('replace', 'remove', 'add'),
      value: odd,
    });
    let taken = 0;
    fc.assert(
      fc.property(fc.array(mutation, { minLength: 1, maxLength: 3 }), (mutations) => {
        const message = mutations.reduce<unknown>(
          (value, { path, kind, value: added }) => mutate(value, path, kind, added),
          VALID,
        );
        const received: unknown = unpack(pack(message));
        const isTaken = stateMessageSchema.safeParse(received).success;
        if (isTaken) taken += 1;
        expect(isStateMessage(received)).toBe(isTaken);
      }),
      { numRuns: 5_000 },
    );
    expect(taken).toBeGreaterThan(100);
  });
});
