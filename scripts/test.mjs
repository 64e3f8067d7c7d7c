// Runs every test file below test/, or only those whose path contains one of the arguments. A test that is listed in
// KNOWN-RED.txt may fail; its name is printed.
import { run } from 'node:test'
import { spec } from 'node:test/reporters'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { once } from 'node:events'
import { join } from 'node:path'
import { parseKnownRed } from './known-red.ts'

const words = process.argv.slice(2)
const files = readdirSync('test', { recursive: true })
  .map((name) => join('test', String(name)))
  .filter((name) => name.endsWith('.test.ts'))
  .filter((name) => words.length === 0 || words.some((word) => name.includes(word)))
  .sort()

if (files.length === 0) {
  console.error('no test file matches')
  process.exit(1)
}

// Tests that measure a process, such as its memory, run one file at a time after all others.
const ALONE_SUFFIX = '.process.test.ts'
// Four files at once leave cores free for the processes that some tests start.
const CONCURRENT_FILES = 4
const FILE_TIMEOUT_MS = 240_000

process.env.NODE_OPTIONS = '--import tsx'
const knownRed = existsSync('KNOWN-RED.txt') ? parseKnownRed(readFileSync('KNOWN-RED.txt', 'utf8')) : new Set()
const counts = { passed: 0, failed: 0 }
const passedOver = []
const alone = files.filter((file) => file.endsWith(ALONE_SUFFIX))
await runFiles(files.filter((file) => !alone.includes(file)), CONCURRENT_FILES)
await runFiles(alone, 1)
for (const name of passedOver) console.log(`known failure, listed in KNOWN-RED.txt: ${name}`)
console.log(`\n${counts.passed} passed, ${counts.failed} failed`)

async function runFiles (selected, concurrency) {
  if (selected.length === 0) return
  const stream = run({ files: selected.map((file) => join(process.cwd(), file)), concurrency, timeout: FILE_TIMEOUT_MS })
  stream.on('test:pass', (event) => { if (event.details.type !== 'suite') counts.passed += 1 })
  stream.on('test:fail', (event) => {
    if (knownRed.has(event.name)) return passedOver.push(event.name)
    if (event.details.type !== 'suite') counts.failed += 1
    process.exitCode = 1
  })
  const report = stream.compose(spec)
  report.pipe(process.stdout, { end: false })
  await once(report, 'end')
}
