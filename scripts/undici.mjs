// Replaces the index of undici in bundles: that index also loads fetch, WebSocket, caches, mocks
// and proxies, which no program uses and which tree shaking cannot remove from CommonJS modules.
// The build fails on an import of a name that is not exported here.
import api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import util from 'undici/lib/core/util.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import { getGlobalDispatcher } from 'undici/lib/global.js';

Object.assign(Dispatcher.prototype, api);

export { Agent, buildConnector, Pool };

/** Like `request` of undici, but accepts only a URL as the first argument. */
export function request(url, options = {}) {
  const { origin, pathname, search } = util.parseURL(url);
  const { dispatcher = getGlobalDispatcher() } = options;
  const method = options.method || (options.body ? 'PUT' : 'GET');
  return api.request.call(dispatcher, { ...options, origin, path: `${pathname}${search}`, method });
}
