// Stands in for the index of undici in the bundles: that index also loads fetch, WebSocket,
// caches, mocks and proxies, which no binary uses and which tree shaking cannot drop from
// CommonJS. An import of a name that is not exported here fails the build.
import api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import util from 'undici/lib/core/util.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import { getGlobalDispatcher } from 'undici/lib/global.js';

Object.assign(Dispatcher.prototype, api);

export { Agent, buildConnector, Pool };

/** Same as undici's own, for URLs as the first argument. */
export function request(url, options = {}) {
  const { origin, pathname, search } = util.parseURL(url);
  const { dispatcher = getGlobalDispatcher() } = options;
  const method = options.method || (options.body ? 'PUT' : 'GET');
  return api.request.call(dispatcher, { ...options, origin, path: `${pathname}${search}`, method });
}
