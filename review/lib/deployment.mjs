// Starts a small deployment on loopback addresses: the project's routers as the deploy file says, with
// the settings of the small site fanous-mill, the store, and engines.
import { fork, spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, get, request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startStore } from './store.mjs';

const LIB = dirname(fileURLToPath(import.meta.url));
const ROOT = join(LIB, '..', '..');
const ENTRY_LAPSE_MS = 3_600;
const ZONES = ['jabal-weibdeh', 'marka', 'sweileh'];
const BOUNDS = {
  drain_ms: 2000,
  grace_s: 8,
  config_ms: 2000,
  strict_revoke: true,
  revoke_ms: 5000,
  retry_ratio: 0.8,
  retry_slack: 150,
};

export const wait = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Exit of a case that could not run. */
export class CannotRun extends Error {}

function isFree(ip, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** A part of the loopback range on which the deployment's ports are free. */
async function findNetwork() {
  for (let tries = 0; tries < 50; tries += 1) {
    const net = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 250)}`;
    const checks = [1, 2, 3].flatMap((no) => [8740, 8749, 7200, 9464].map((port) => [no, port]));
    const free = await Promise.all(checks.map(([no, port]) => isFree(`${net}.${no}`, port)));
    if (free.every(Boolean) && (await isFree(`${net}.200`, 8742))) return net;
  }
  throw new CannotRun('no free loopback addresses');
}

/** Fills in the template of the settings; DEPLOY.md, "Settings of a process". */
function render(template, fields) {
  const find = (path) => path.split('.').reduce((value, key) => value?.[key], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) =>
      find(path) ? inner : '',
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) =>
      json === undefined ? String(find(path) ?? '') : JSON.stringify(find(path)),
    );
}

/** `roles.router` of the deploy file: command and template. */
function readDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const value = (name) => new RegExp(`^${name} = "([^"]*)"$`, 'm').exec(text)?.[1] ?? '';
  return { command: value('run').split(' '), template: value('template') };
}

export async function startDeployment(directory, manifest, routerCount) {
  const net = await findNetwork();
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const record = createWriteStream(join(process.env.RECORD_DIR ?? directory, 'record.txt'));
  const { command, template } = readDeployFile();
  const startedAtMs = Date.now();
  const children = new Set();
  const engineEvents = [];
  const engines = new Map();
  let attemptNo = 0;

  function note(what, fields = {}) {
    const line = { ms: (fields.atMs ?? Date.now()) - startedAtMs, what, ...fields };
    delete line.atMs;
    record.write(`${JSON.stringify(line)}\n`);
  }

  const store = await startStore(`${net}.200`, 8742);
  store.put('op', 'config', manifest);
  note('manifest', { manifest });

  function createRouter(no) {
    const ip = `${net}.${no}`;
    const fields = {
      node_name: `front-${ZONES[(no - 1) % 3]}-${no}`,
      zone: ZONES[(no - 1) % 3],
      region: 'amman',
      ip,
      listen: { front: `${ip}:8740`, ready: `${ip}:8749` },
      port_range: [7200, 7215],
      provider: { address: `${net}.200:8742` },
      bounds: BOUNDS,
    };
    const file = join(folder, `router-${no}.jsonc`);
    writeFileSync(file, render(readFileSync(join(ROOT, template), 'utf8'), fields));
    const log = createWriteStream(join(process.env.LOGS ?? folder, `router-${no}.log`), {
      flags: 'a',
    });
    const router = { no, ip, host: ip, port: 8740, child: undefined };

    router.start = () => {
      const [program, ...args] = command;
      const { PATH, HOME, LANG } = process.env;
      const child = spawn(program, args, {
        cwd: ROOT,
        env: { PATH, HOME, LANG, MIMOSAMILL_BOOT: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      child.stdout.pipe(log, { end: false });
      child.stderr.pipe(log, { end: false });
      children.add(child);
      router.child = child;
      note('router started', { router: no });
      router.ended = new Promise((resolve) => {
        child.once('exit', (code, signal) => {
          children.delete(child);
          note('router ended', { router: no, code, signal });
          resolve();
        });
      });
    };
    router.signal = (signal) => {
      note('signal', { router: no, signal });
      router.child.kill(signal);
    };
    router.isReady = () =>
      new Promise((resolve) => {
        const req = get({ host: ip, port: 8749, path: '/readyz', timeout: 500 }, (res) => {
          res.resume();
          resolve(res.statusCode === 200);
        });
        req.on('timeout', () => req.destroy());
        req.on('error', () => resolve(false));
      });
    router.untilReady = async () => {
      for (let tries = 0; tries < 100; tries += 1) {
        if (await router.isReady()) return;
        await wait(100);
      }
      throw new CannotRun(`router ${no} does not get ready`);
    };
    return router;
  }

  const routers = [];
  for (let no = 1; no <= routerCount; no += 1) routers.push(createRouter(no));

  /** Starts an engine's process and writes its entry. */
  async function startEngine(options) {
    const ip = `${net}.${options.no + 20}`;
    const full = { port: 9000, ip, zone: ZONES[options.no % 3], version: 'v1', ...options };
    const born = Date.now();
    const child = fork(join(LIB, 'engine.mjs'), [JSON.stringify(full)], { stdio: 'inherit' });
    children.add(child);
    const engine = { ...full, child, address: `${ip}:${full.port}`, isUp: true };
    engines.set(full.id, engine);
    await new Promise((resolve, reject) => {
      child.once('exit', () => {
        children.delete(child);
        engine.isUp = false;
        note('engine ended', { engine: full.id });
        reject(new CannotRun(`engine ${full.id} ended`));
        setTimeout(() => {
          // Removed after three heartbeats of silence, unless the id has started again.
          if (engines.get(full.id) === engine) store.remove('servers', full.id);
        }, ENTRY_LAPSE_MS);
        engine.onExit?.();
      });
      child.on('message', (event) => {
        if (event.kind === 'listening') resolve();
        engineEvents.push(event);
        note(`engine: ${event.kind}`, event);
      });
    });
    engine.write = (state = 'ready') =>
      store.put('servers', full.id, {
        service: full.service,
        address: engine.address,
        zone: full.zone,
        version: full.version,
        slots: full.slots,
        state,
        cold_left_ms: 0,
        sequence: 1,
        born,
      });
    engine.write();
    note('engine started', { engine: full.id, address: engine.address, version: full.version });
    return engine;
  }

  const agents = new Map();

  /** The kept channel of one client to one router. */
  function agentOf(client, router) {
    const key = `${client}/${router.no}`;
    if (!agents.has(key)) agents.set(key, new Agent({ keepAlive: true, maxSockets: 50 }));
    return agents.get(key);
  }

  /** Sends one client attempt; resolves with what the client has seen. */
  function send(router, options) {
    attemptNo += 1;
    const id = options.id ?? `a${attemptNo.toString(16).padStart(8, '0')}`;
    const sentAtMs = Date.now();
    note('client: sent', { id, router: router.no, path: options.path, ...options.note });
    return new Promise((resolve) => {
      let text = '';
      const seen = { id, sentAtMs, status: undefined, headers: {}, isComplete: false, text: '' };
      const finish = () => {
        seen.text = text;
        seen.endedAtMs = Date.now();
        seen.lastEventId = Number([...text.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? 0);
        note('client: answered', {
          id,
          status: seen.status,
          isComplete: seen.isComplete,
          lastEventId: seen.lastEventId,
          retryAfter: seen.headers['retry-after'],
        });
        resolve(seen);
      };
      const req = request(
        {
          host: router.host,
          port: router.port,
          method: options.method ?? 'POST',
          path: options.path,
          agent: agentOf(options.client ?? 'client', router),
          headers: {
            host: 'ficu95.example',
            'x-attempt-id': id,
            'x-deadline-ms': String(options.deadlineMs),
            authorization: `Token ${options.key ?? 'key1'}`,
            'content-length': String(options.body?.length ?? 0),
            ...options.headers,
          },
        },
        (res) => {
          seen.status = res.statusCode;
          seen.headers = res.headers;
          res.on('data', (chunk) => {
            seen.firstAtMs ??= Date.now();
            text += chunk;
          });
          res.on('end', () => {
            seen.isComplete = res.complete;
            finish();
          });
          res.on('error', () => undefined);
          res.on('close', () => {
            if (seen.endedAtMs === undefined) finish();
          });
        },
      );
      req.on('error', () => {
        if (seen.endedAtMs === undefined && seen.status === undefined) finish();
      });
      req.end(options.body);
    });
  }

  async function close() {
    children.forEach((child) => {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
    store.close();
    await wait(200);
    await new Promise((resolve) => {
      record.end(resolve);
    });
    rmSync(folder, { recursive: true, force: true });
  }

  return { net, note, store, routers, startEngine, engines, engineEvents, send, close };
}

/** Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(directory, play) {
  const isTroubled = process.env.TROUBLE !== '0';
  let deployment;
  let code = 2;
  const limit = setTimeout(() => {
    process.stdout.write('the case took too long\n');
    void deployment?.close().finally(() => process.exit(2));
  }, 115_000);
  try {
    const start = async (manifest, routerCount) => {
      deployment = await startDeployment(directory, manifest, routerCount);
      return deployment;
    };
    const broken = await play(start, isTroubled);
    code = broken.length > 0 ? 1 : 0;
    const lines = broken.length > 0 ? broken : ['the rule held'];
    lines.slice(0, 12).forEach((line) => {
      deployment.note('verdict', { line });
      process.stdout.write(`${line}\n`);
    });
  } catch (error) {
    process.stdout.write(`could not run: ${error.stack}\n`);
  }
  clearTimeout(limit);
  await deployment?.close();
  process.exit(code);
}

/** A manifest with the limits and tenants of the small site. */
export function createManifest(routes, services) {
  return {
    version: 7,
    routes,
    services,
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [
      { name: 'huka270', api_keys: ['key1'], priority: 1 },
      { name: 'poli118', api_keys: ['key2'], priority: 1 },
    ],
  };
}

export const MODEL_SERVICE = {
  name: 'huvo11a',
  health_path: '/healthz',
  max_conns: 620,
  protocol: 'h1',
  tls: false,
  engine: {
    slots: 128,
    kv_capacity: 55000,
    kv_token_bytes: 131072,
    link_mbps: 550000.0,
    moves: false,
    backups: false,
    stride: 6,
    handle_s: 4.0,
    models: [{ name: 'm' }],
  },
};
export const PLAIN_SERVICE = {
  name: 'wuno96b',
  health_path: '/healthz',
  max_conns: 100,
  protocol: 'h1',
  tls: false,
};
