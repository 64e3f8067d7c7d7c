import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok, type Result } from 'neverthrow'
import { GroupCommit, type Commit, type GroupCommitStep, type SettledCommit } from '../../src/core/group-commit.ts'
import type { StoreResponse, StoreCall, StoreFailure } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'

const OWNER = { key: 'groups/0', value: '{"owner":"m1","epoch":1}' }

/** How the store treats one call. */
type Treatment = 'answer' | 'lose-answer' | 'lose-call' | 'refuse'

function commitOf (id: string): Commit {
  return { group: 0, epoch: 1, commitId: id, writes: [{ type: 'put', key: `jobs/0/work/${id}`, value: id }] }
}

function treat (store: InMemoryStore, now: number, call: StoreCall, treatment: Treatment): Result<StoreResponse, StoreFailure> {
  if (treatment === 'refuse') return err({ reason: 'unavailable', verdict: 'not-applied' })
  if (treatment === 'lose-call') return err({ reason: 'timeout', verdict: 'may-have-applied' })
  const answer = store.call(now, call)
  if (treatment === 'lose-answer') return err({ reason: 'timeout', verdict: 'may-have-applied' })
  return answer === 'waiting' ? err({ reason: 'timeout', verdict: 'not-applied' }) : ok(answer)
}

function run (treatments: readonly Treatment[], owner = OWNER.value): { readonly settled: readonly SettledCommit[], readonly store: InMemoryStore, readonly writes: number } {
  const store = InMemoryStore.create()
  store.call(0, { type: 'transact', compares: [], puts: [{ key: OWNER.key, value: owner }], deletes: [] })
  const commits = GroupCommit.create({ memberId: 'm1', incarnation: 'a', seed: 1, gatherMs: 50, ownership: () => OWNER })
  commits.add(0, commitOf('a'))
  const settled: SettledCommit[] = []
  let calls = 0
  let writes = 0
  const follow = (now: number, step: GroupCommitStep): void => {
    settled.push(...step.settled)
    if (step.call === undefined) return
    if (step.call.type === 'transact') writes += 1
    const treatment = treatments[calls] ?? 'answer'
    calls += 1
    follow(now, commits.answered(now, treat(store, now, step.call, treatment)))
  }
  for (let now = 0; now < 20_000; now += 100) follow(now, commits.step(now))
  return { settled, store, writes }
}

// The first call reads the marker, the second writes.
const cases: readonly { readonly guards: string, readonly treatments: readonly Treatment[], readonly owner?: string, readonly outcome: string, readonly stored: number, readonly writes: number }[] = [
  { guards: 'a commit is written once', treatments: [], outcome: 'applied', stored: 1, writes: 1 },
  { guards: 'a write whose answer is lost is not written again blindly', treatments: ['answer', 'lose-answer'], outcome: 'applied', stored: 1, writes: 1 },
  { guards: 'a write that was lost with its answer is written again', treatments: ['answer', 'lose-call'], outcome: 'applied', stored: 1, writes: 2 },
  { guards: 'a lost read-back is repeated before anything is written', treatments: ['answer', 'lose-answer', 'lose-call', 'refuse'], outcome: 'applied', stored: 1, writes: 1 },
  { guards: 'a write of a former owner is refused by the store and reported as fenced', treatments: [], owner: '{"owner":"m2","epoch":2}', outcome: 'fenced', stored: 0, writes: 1 },
  { guards: 'a commit that was never sent is given up in an outage', treatments: Array<Treatment>(40).fill('refuse'), outcome: 'failed', stored: 0, writes: 0 }
]

for (const entry of cases) {
  test(`group commit: ${entry.guards}`, () => {
    const { settled, store, writes } = run(entry.treatments, entry.owner)
    const stored = store.call(30_000, { type: 'read', prefix: 'jobs/' })
    assert.deepEqual(settled.map(({ outcome }) => outcome), [entry.outcome])
    assert.equal(stored !== 'waiting' && stored.type === 'read' && stored.entries.length, entry.stored)
    assert.equal(writes, entry.writes)
  })
}

test('group commit: a commit whose write may still arrive is never reported as failed', () => {
  const { settled, store } = run(['answer', 'lose-call', ...Array<Treatment>(8).fill('refuse')])
  assert.deepEqual(settled.map(({ outcome }) => outcome), ['applied'])
  assert.notEqual(store.call(30_000, { type: 'read', prefix: 'jobs/0/work/a' }), 'waiting')
})
