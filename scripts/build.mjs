// Bundles each binary into one file: a bundle needs about 12 MiB less resident memory than
// the same libraries loaded from node_modules.
import { build } from 'esbuild';
import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));

/** What a deployment runs; `--target` builds only these, into target/. */
const DEPLOYED = {
  'platform-router': 'platform/src/main.ts',
};

const BINARIES = {
  ...DEPLOYED,
  router: 'packages/router/src/main.ts',
  controller: 'packages/controller/src/main.ts',
  admin: 'packages/admin/src/main.ts',
  mimosactl: 'packages/admin/src/cli/main.ts',
  'fake-engine': 'packages/fakes/src/engine/main.ts',
  'fake-service': 'packages/fakes/src/service/main.ts',
  'fake-platform': 'packages/fakes/src/platform/main.ts',
  'baseline-relay': 'packages/bench/src/baseline/main.ts',
  soak: 'packages/soak/src/main.ts',
  demo: 'packages/bench/src/demo/main.ts',
  measure: 'packages/bench/src/measure/main.ts',
  'bench-node': 'packages/bench/src/member/node.ts',
  'bench-empty': 'packages/bench/src/memory/empty.ts',
  'bench-idle': 'packages/bench/src/member/idle.ts',
  'bench-gateway': 'packages/bench/src/logging/node.ts',
};

const isTarget = process.argv.includes('--target');
const entryPoints = Object.entries(isTarget ? DEPLOYED : BINARIES)
  .filter(([, file]) => existsSync(join(root, file)))
  .map(([out, file]) => ({ out, in: join(root, file) }));

// Replaces the index of two CommonJS libraries, which tree shaking cannot prune, by the parts in use.
const slimLibraries = {
  name: 'slim-libraries',
  setup: ({ onLoad, onResolve }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: join(root, 'scripts/undici.mjs') }));
    onResolve({ filter: /^hdr-histogram-js$/ }, () => ({
      path: join(root, 'scripts/hdr-histogram.mjs'),
    }));
    // The builder uses its WebAssembly form only on request; without it, it builds the JavaScript one.
    onLoad({ filter: /hdr-histogram-js[\\/]dist[\\/]wasm[\\/]index\.js$/ }, () => ({
      contents: 'exports.webAssemblyAvailable = false;',
    }));
  },
};

await build({
  entryPoints,
  outdir: join(root, isTarget ? 'target' : 'dist'),
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  // jsonc-parser's CommonJS entry uses a dynamic require that a bundle cannot resolve.
  mainFields: ['module', 'main'],
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
  plugins: [slimLibraries],
  minifySyntax: true,
  minifyWhitespace: true,
  keepNames: true,
  logLevel: 'warning',
});
