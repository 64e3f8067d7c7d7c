// Bundles the process that runs on the operators' platform into target/damaskfield-platform.mjs. A process starts anew
// after each loss of power, so the bundle holds only what the process uses. Optional argument: another file to write.
import { build } from 'esbuild'

// Packages that bunyan uses only for streams that the process does not have; loading them takes time at each start.
const UNUSED_PARTS = /^(dtrace-provider|mv|moment|source-map-support|safe-json-stringify)$/
// Packages in the CommonJS format call require(), which a module does not have.
const BANNER = 'import { createRequire } from "node:module"; import { fileURLToPath } from "node:url"; import { dirname } from "node:path"; const require = createRequire(import.meta.url); const __filename = fileURLToPath(import.meta.url); const __dirname = dirname(__filename);'
// The parts of the HTTP client and of the histograms that are used; their index files load everything else as well.
const USED_PARTS = {
  undici: 'module.exports = { Pool: require("undici/lib/dispatcher/pool.js"), errors: require("undici/lib/core/errors.js") }',
  'hdr-histogram-js': 'module.exports = { build: require("hdr-histogram-js/dist/HistogramBuilder.js").build }'
}

const trim = {
  name: 'trim',
  setup (bundle) {
    bundle.onResolve({ filter: UNUSED_PARTS }, ({ path }) => ({ path, namespace: 'unused' }))
    bundle.onLoad({ filter: /.*/, namespace: 'unused' }, ({ path }) => ({ contents: `throw new Error(${JSON.stringify(`${path} is not part of the bundle`)})` }))
    bundle.onResolve({ filter: /^(undici|hdr-histogram-js)$/ }, ({ path }) => ({ path, namespace: 'used' }))
    bundle.onLoad({ filter: /.*/, namespace: 'used' }, ({ path }) => ({ contents: USED_PARTS[path], resolveDir: process.cwd() }))
  }
}

await build({
  entryPoints: ['platform/main.ts'],
  outfile: process.argv[2] ?? 'target/damaskfield-platform.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  plugins: [trim],
  legalComments: 'none',
  banner: { js: BANNER },
  logLevel: 'warning'
})
