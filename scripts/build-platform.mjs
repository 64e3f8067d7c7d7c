// Bundles the process that runs on the operators' platform into target/damaskfield-platform.mjs.
import { build } from 'esbuild'

// bunyan loads these only if they are installed.
const OPTIONAL_PARTS = ['dtrace-provider', 'mv', 'moment', 'source-map-support', 'safe-json-stringify']
// Packages in the CommonJS format call require(), which a module does not have.
const BANNER = 'import { createRequire } from "node:module"; import { fileURLToPath } from "node:url"; import { dirname } from "node:path"; const require = createRequire(import.meta.url); const __filename = fileURLToPath(import.meta.url); const __dirname = dirname(__filename);'

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/damaskfield-platform.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  external: OPTIONAL_PARTS,
  legalComments: 'none',
  banner: { js: BANNER },
  logLevel: 'warning'
})
