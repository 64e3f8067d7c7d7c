import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { findForbiddenUses } from './forbidden-imports.ts'

const SOURCE = join(import.meta.dirname, '..', '..', 'src')
/** The stand-ins and the demo do not run on an entry host. */
const EXEMPT_FOLDERS = ['standins', 'demo']

const BAD_TEXTS = [
  "import { spawn } from 'node:child_process'",
  "import childProcess from 'child_process'",
  "import cluster from 'node:cluster'",
  "import { Worker } from 'node:worker_threads'",
  "import { createRequire } from 'node:module'",
  "import { writeFile } from 'node:fs/promises'",
  "import { readFile, writeFileSync } from 'node:fs'",
  "import { createWriteStream as read } from 'node:fs'",
  "import { promises } from 'node:fs'",
  "import * as fs from 'node:fs'",
  "import fs from 'fs'",
  "import 'node:fs'",
  "export { fork } from 'node:child_process'",
  "export * from 'node:fs'",
  "const fs = await import('node:fs')",
  'const fs = await import(`node:fs`)',
  "const name = 'node:' + 'fs'; await import(name)",
  "const { spawn } = require('child_process')",
  "import fs = require('fs')",
  "process.getBuiltinModule('fs')",
  "process['binding']('fs')"
]

const GOOD_TEXTS = [
  "import { readFile, stat } from 'node:fs/promises'",
  "import { readFileSync as read } from 'node:fs'",
  "import type { WriteStream } from 'node:fs'",
  "import { type WriteStream, existsSync } from 'node:fs'",
  "import { Worker } from './worker.ts'",
  "// import { spawn } from 'node:child_process'",
  "const text = 'fs'"
]

for (const text of BAD_TEXTS) {
  test(`the check finds: ${text}`, () => assert.equal(findForbiddenUses(text).length, 1))
}

test('the check accepts read functions, types, modules of the project and comments', () => {
  assert.deepEqual(GOOD_TEXTS.flatMap((text) => findForbiddenUses(text)), [])
})

test('the product starts no process or thread and writes no file', () => {
  const files = readdirSync(SOURCE, { recursive: true })
    .map(String)
    .filter((name) => name.endsWith('.ts') && !EXEMPT_FOLDERS.includes(name.split(/[\\/]/)[0]!))
  assert.ok(files.length > 50, `only ${files.length} files were checked`)
  const found = files.flatMap((name) => findForbiddenUses(readFileSync(join(SOURCE, name), 'utf8'), name).map((use) => `${name}: ${use}`))
  assert.deepEqual(found, [])
})
