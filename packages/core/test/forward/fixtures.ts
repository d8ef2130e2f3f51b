import { asId } from '../../src/index';
import type { EngineCapacity, ForwardServer, RequestId, ServerId } from '../../src/index';

export const CAPACITY: EngineCapacity = {
  slots: 32,
  memoryTokens: 55_000,
  hasBackups: true,
  copyLifeMs: 4_000,
};

/** A server of the service `guide`; its failure domain is the first letter of its name. */
export function server(name: string, service = 'guide'): ForwardServer {
  return {
    serverId: asId(name),
    service: asId(service),
    address: `10.0.0.${name.length}:${8_000 + (name.codePointAt(name.length - 1) ?? 0)}`,
    failureDomain: asId(`domain-${name.slice(0, 1)}`),
    version: 'v1',
    slots: 6,
    isLeaving: false,
    startedAtMs: 1,
  };
}

export const id = (text: string): ServerId => asId(text);
export const requestId = (text: string): RequestId => asId(text);

/** FNV-1a, standing in for the library's hash. */
export function hash32(text: string): number {
  let hash = 2_166_136_261;
  for (const char of text) {
    const mixed = Math.trunc(hash) % 2 ** 32;
    hash = Math.imul(mixed + (char.codePointAt(0) ?? 0), 16_777_619);
  }
  return Math.abs(hash);
}

/** A seeded generator, so that each run of a test plays the same load. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}
