import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { COMMANDS } from '../../src/cli/program.ts'
import { EXIT_CODE } from '../../src/cli/exit-code.ts'
import { createRefusalDocument } from '../../src/api/problem-document.ts'
import type { Refusal, RefusalReason } from '../../src/model/refusal.ts'

/** All refusal reasons; the type makes sure that none is missing. */
const REASONS: Readonly<Record<RefusalReason, true>> = {
  invalid: true,
  'unknown-queue': true,
  'key-missing': true,
  'key-rejected': true,
  'configuration-not-fresh': true,
  'starting-up': true,
  'shutting-down': true,
  'never-fits': true,
  'over-team-limit': true,
  overloaded: true,
  'deadline-passed': true,
  'deadline-unreachable': true,
  'store-unavailable': true,
  'no-owner': true,
  'outcome-unknown': true,
  cancelled: true,
  'target-lost': true,
  'retries-exhausted': true,
  'id-reused': true
}

const callers = readFileSync('docs/callers.md', 'utf8')
const operators = readFileSync('docs/operators.md', 'utf8')

test('docs/callers.md: every refusal is listed with the status and title that the interface returns', () => {
  for (const code of Object.keys(REASONS)) {
    const { status, title } = createRefusalDocument({ reason: code } as Refusal, 'not-run')
    assert.ok(callers.includes(`| \`${code}\` | ${status} | ${title} | `), `${code} ${status} ${title}`)
  }
})

test('docs/callers.md: every exit code is listed', () => {
  for (const code of Object.values(EXIT_CODE)) assert.match(callers, new RegExp(`^\\| ${code} \\| `, 'm'))
})

test('the pages do not name commands that do not exist', () => {
  const known = COMMANDS.flatMap((command) => command.paths ?? []).map((path) => path.join(' '))
  const named = [...`${callers}${operators}`.matchAll(/damaskfield ([a-z]+(?: [a-z]+)?)/g)].map((match) => match[1]!)
  assert.ok(named.length > 20)
  for (const words of named) {
    assert.ok(known.some((path) => words === path || words.startsWith(`${path} `) || path === words.split(' ')[0]), words)
  }
})
