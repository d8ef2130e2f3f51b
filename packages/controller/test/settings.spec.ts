import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';
import { loadSettings, parseSettings } from '@mimosamill/adapters';
import { controllerSettingsSchema } from '../src/settings';

const EXAMPLE = fileURLToPath(new URL('../controller.example.jsonc', import.meta.url));

describe('settings of the controller', () => {
  it('accept the example file', () => {
    // Guards against an example file that the settings schema no longer accepts.
    expect(loadSettings(EXAMPLE, controllerSettingsSchema).kind).toBe('ok');
  });

  it('refuse a lease term that leaves no time for an order', () => {
    // Guards against a controller that holds its lease but never has enough of it left to send.
    const outcome = parseSettings('c.jsonc', '{ "leaseTermMs": 100 }', controllerSettingsSchema);
    const problems = outcome.kind === 'invalid' ? outcome.problems : [];
    expect(problems.map(({ key }) => key)).toContain('leaseTermMs');
  });
});
