// Bundles the stand-ins and the script of each case into target/review-2/.
import { existsSync } from 'node:fs'
import { build } from 'esbuild'

const CASES = ['6', '7', '8', '9', '10'].map((name) => `review/${name}/case.ts`).filter((file) => existsSync(file))
const BANNER = 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);'

for (const file of CASES) {
  const outfile = `target/review-2/case-${file.split('/')[1]}.mjs`
  await build({ entryPoints: [file], outfile, bundle: true, platform: 'node', target: 'node20', format: 'esm', banner: { js: BANNER }, logLevel: 'warning' })
}
