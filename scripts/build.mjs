// Bundles the command line into dist/damaskfield.cjs and makes the executable dist/damaskfield; another folder than
// dist can be given as an argument. Run with `npm run build`. With the package postject, the executable is a copy of Node.js with the bundle inside
// (single executable application); without it, a shell launcher that runs the bundle with the installed Node.js.
import { build } from 'esbuild'
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, existsSync, mkdirSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const FOLDER = process.argv[2] ?? 'dist'
const BUNDLE = join(FOLDER, 'damaskfield.cjs')
const EXECUTABLE = join(FOLDER, 'damaskfield')
const POSTJECT = 'node_modules/.bin/postject'
// Value that Node.js documents for single executable applications; it marks the place that postject switches on.
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
// Inside a single executable application, the given require() loads built-in modules only and warns otherwise; this one
// looks for optional parts beside the executable.
const BANNER = 'require = require("node:module").createRequire(__filename);'
// bunyan loads these only if they are installed; dtrace-provider is native and cannot be bundled.
const OPTIONAL_PARTS = ['dtrace-provider', 'mv', 'moment', 'source-map-support', 'safe-json-stringify']

const LAUNCHER = `#!/bin/sh
# Runs the bundle beside this file, also when called through a link.
exec node "$(dirname "$(readlink -f "$0")")/damaskfield.cjs" "$@"
`

async function makeBundle () {
  await build({ entryPoints: ['src/cli/main.ts'], outfile: BUNDLE, bundle: true, platform: 'node', target: 'node20', format: 'cjs', external: OPTIONAL_PARTS, legalComments: 'none', banner: { js: BANNER }, logLevel: 'warning' })
}

/** Puts the bundle into a copy of Node.js. */
function makeSingleExecutable () {
  const blob = join(FOLDER, 'sea.blob')
  const instructions = join(FOLDER, 'sea.json')
  const configuration = { main: BUNDLE, output: blob, disableExperimentalSEAWarning: true, useSnapshot: false, useCodeCache: false }
  writeFileSync(instructions, JSON.stringify(configuration))
  execFileSync(process.execPath, ['--experimental-sea-config', instructions], { stdio: 'inherit' })
  copyFileSync(process.execPath, EXECUTABLE)
  execFileSync(POSTJECT, [EXECUTABLE, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', SEA_FUSE], { stdio: 'inherit' })
}

function makeLauncher () {
  writeFileSync(EXECUTABLE, LAUNCHER)
}

mkdirSync(FOLDER, { recursive: true })
rmSync(EXECUTABLE, { force: true })
await makeBundle()
const single = existsSync(POSTJECT)
if (single) makeSingleExecutable()
else makeLauncher()
chmodSync(EXECUTABLE, 0o755)
console.log(`${BUNDLE}: ${statSync(BUNDLE).size} bytes`)
console.log(`${EXECUTABLE}: ${single ? 'single executable application' : 'launcher, because postject is not installed'}, ${statSync(EXECUTABLE).size} bytes`)
