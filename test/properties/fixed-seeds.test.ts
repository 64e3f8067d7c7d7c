import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'

/** The options at the end of a call, with a seed. */
const SEEDED_OPTIONS = /\{[^{}]*\bseed\b[^{}]*\}\)/g

// Cases that are drawn anew in each run gave CI another verdict on the same code.
test('properties: guards against the failure that a test checks other cases in each run', () => {
  const files = readdirSync('test', { recursive: true }).map((name) => join('test', String(name))).filter((name) => name.endsWith('.ts') && !name.endsWith('fixed-seeds.test.ts'))
  const unseeded = files.filter((file) => {
    const text = readFileSync(file, 'utf8')
    const calls = text.match(/\bfc\.(?:assert|check)\(/g)?.length ?? 0
    return calls > (text.match(SEEDED_OPTIONS)?.length ?? 0)
  })
  assert.deepEqual(unseeded, [])
})
