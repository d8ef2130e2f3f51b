// Bundles each program into one file, which needs about 12 MiB less resident memory than loading
// the same libraries from node_modules.
import { build } from 'esbuild';
import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));

/** Programs that are deployed; `--target` builds only these, into target/. */
const DEPLOYED_PROGRAMS = {
  'platform-router': 'platform/src/main.ts',
};

const PROGRAMS = {
  ...DEPLOYED_PROGRAMS,
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

const isTargetBuild = process.argv.includes('--target');
const entryPoints = Object.entries(isTargetBuild ? DEPLOYED_PROGRAMS : PROGRAMS)
  .filter(([, file]) => existsSync(join(root, file)))
  .map(([out, file]) => ({ out, in: join(root, file) }));

// Replaces the index modules of two CommonJS libraries by modules that load only the parts in use:
// tree shaking cannot remove the other parts.
const replaceLibraryIndexes = {
  name: 'slim-libraries',
  setup: ({ onLoad, onResolve }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: join(root, 'scripts/undici.mjs') }));
    onResolve({ filter: /^hdr-histogram-js$/ }, () => ({
      path: join(root, 'scripts/hdr-histogram.mjs'),
    }));
    // The histogram builder uses WebAssembly only if its caller asks for it, which no program does.
    // Without WebAssembly, it uses JavaScript.
    onLoad({ filter: /hdr-histogram-js[\\/]dist[\\/]wasm[\\/]index\.js$/ }, () => ({
      contents: 'exports.webAssemblyAvailable = false;',
    }));
  },
};

await build({
  entryPoints,
  outdir: join(root, isTargetBuild ? 'target' : 'dist'),
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
  plugins: [replaceLibraryIndexes],
  minifySyntax: true,
  minifyWhitespace: true,
  // Node.js makes the message of a failed assertion by parsing the source from the start of its line on, once
  // for each expression that it finds there. With the whole program on one line that takes seconds.
  lineLimit: 120,
  keepNames: true,
  logLevel: 'warning',
});
