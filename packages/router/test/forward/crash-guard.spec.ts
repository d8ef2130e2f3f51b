import { describe, expect, it } from 'vitest';
import { asId } from '@mimosamill/core';
import { createContent, createGuardFleet, DEADLY, DELIVERY_MS, SHARED } from './guard-fleet';
import type { PromptPartId } from '@mimosamill/core';

const SOUND = createContent('sound', SHARED);

// Guards against one router that has answered none of a customer's prompts: it took the part that they
// share for the deadly one, and all routers refused the customer's requests for two minutes.
describe('routers that know different answers', () => {
  it('refuse a deadly part, and not the sound one beside it', async () => {
    const { clock, guards, crashAt, refusesSound } = createGuardFleet(3);
    guards[0]?.onAnswered(SOUND);
    clock.advance(1_000);
    await crashAt(0, 'r1');
    clock.advance(130);
    await crashAt(1, 'r2');
    clock.advance(130);
    await crashAt(0, 'r1');
    for (let step = 0; step < 10; step += 1) {
      clock.advance(50);
      expect(refusesSound()).toEqual([false, false, false]);
    }
    const deadly = createContent('r3', SHARED, DEADLY);
    expect(guards.map((guard) => guard.findCondemned(deadly)?.suspect)).toEqual([
      DEADLY,
      DEADLY,
      DEADLY,
    ]);
  });

  it('agree again after the reports of an answer were lost', async () => {
    const { clock, guards, crashAt, refusesSound, setConnected } = createGuardFleet(3);
    guards[0]?.onAnswered(SOUND);
    clock.advance(1_000);
    setConnected(false);
    for (const request of ['r1', 'r2', 'r3']) {
      await crashAt(2, request);
      clock.advance(400);
    }
    // The router that knows no answer refuses only prompts that have the deadly part besides.
    expect(refusesSound()).toEqual([false, false, false]);
    setConnected(true);
    await crashAt(1, 'r4');
    clock.advance(DELIVERY_MS);
    await crashAt(2, 'r5');
    clock.advance(10 * DELIVERY_MS);
    expect(refusesSound()).toEqual([false, false, false]);
  });
});

// Guards against refusing all requests of a customer after a quiet minute: no router knows of an answer then.
describe('routers none of which knows an answer to the part that all prompts share', () => {
  it('refuse prompts that have the deadly part besides, and serve the sound ones', async () => {
    const { clock, guards, crashAt, refusesSound } = createGuardFleet(3);
    const crashes = [
      [0, 'r1'],
      [1, 'r2'],
      [0, 'r1'],
      [2, 'r3'],
      [1, 'r2'],
    ] as const;
    for (const [router, request] of crashes) {
      await crashAt(router, request);
      clock.advance(400);
      expect(refusesSound()).toEqual([false, false, false]);
    }
    const deadly = createContent('r9', SHARED, asId<PromptPartId>('session-r9'), DEADLY);
    const refused = guards.map((guard) => guard.findCondemned(deadly) !== undefined);
    expect(refused).toEqual([true, true, true]);
  });

  it('serve such prompts again at all of them once a server has survived one', async () => {
    const { clock, guards, crashAt } = createGuardFleet(3);
    const content = createContent('r9', SHARED, DEADLY);
    for (const request of ['r1', 'r2', 'r3']) {
      await crashAt(0, request);
      clock.advance(400);
    }
    expect(guards.every((guard) => guard.findCondemned(content) !== undefined)).toBe(true);
    guards[2]?.onAnswered(content);
    clock.advance(10 * DELIVERY_MS);
    expect(guards.map((guard) => guard.findCondemned(content))).toEqual(
      guards.map(() => undefined),
    );
  });
});
