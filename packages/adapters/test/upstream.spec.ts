import { describe, expect, it } from 'vitest';
import { createUpstream } from '../src/index';

const ADDRESSES = ['127.0.0.1:99999', '127.0.0.1:x', 'no address', 'a b:80'];

describe('a server with an address that nothing can connect to', () => {
  it.each(ADDRESSES)(
    'fails its request as not sent instead of with an exception (%s)',
    async (address) => {
      const upstream = createUpstream({ connectTimeoutMs: 300, connectionsPerServer: 1 });
      const failure = await new Promise((resolve) => {
        upstream.send(
          { address, method: 'GET', path: '/', headers: [], body: undefined },
          {
            onSent: () => undefined,
            onHead: () => undefined,
            onData: () => undefined,
            onEnd: () => resolve('end'),
            onFailure: resolve,
          },
        );
      });
      expect(failure).toBe('not_sent');
      expect(await upstream.isAccepting(address)).toBe(false);
      await upstream.close();
    },
  );
});
