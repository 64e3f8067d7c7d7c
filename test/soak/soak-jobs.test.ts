import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSoakJob } from '../../soak/soak-jobs.ts'
import { Random } from '../../src/util/random.ts'

type Case = { readonly kinds: readonly string[], readonly drawn: readonly string[] }

const CASES: readonly Case[] = [
  { kinds: [], drawn: ['copied', 'gang', 'lasting', 'plain', 'repeated', 'saved', 'wide'] },
  { kinds: ['long'], drawn: ['long'] },
  { kinds: ['long', 'lasting'], drawn: ['lasting', 'long'] }
]

for (const { kinds, drawn } of CASES) {
  // A kind that joined the default ones would change the jobs of each seed that has failed.
  test(`soak jobs: ${kinds.length === 0 ? 'all kinds' : kinds.join()} gives ${drawn.join(', ')}`, () => {
    const random = Random.create(7)
    const found = Array.from({ length: 300 }, () => createSoakJob(random, 'a', { maxAttempts: 2, needsTicket: false, kinds }).kind)
    assert.deepEqual([...new Set(found)].sort(), drawn)
  })
}
