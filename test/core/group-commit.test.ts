import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok, type Result } from 'neverthrow'
import { GroupCommit, type Commit, type GroupCommitStep, type ResolvedCommit } from '../../src/core/group-commit.ts'
import type { StoreResponse, StoreCall, StoreFailure } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'

const OWNER = { key: 'groups/0', value: '{"owner":"m1","epoch":1}' }

/** Behaviour of the store for one call; `lose-answer` applies the call and loses the response. */
type CallBehaviour = 'answer' | 'lose-answer' | 'lose-call' | 'refuse'

function createCommit (id: string): Commit {
  return { group: 0, epoch: 1, commitId: id, writes: [{ type: 'put', key: `jobs/0/work/${id}`, value: id }] }
}

function callStore (store: InMemoryStore, now: number, call: StoreCall, behaviour: CallBehaviour): Result<StoreResponse, StoreFailure> {
  if (behaviour === 'refuse') return err({ reason: 'unavailable', verdict: 'not-applied' })
  if (behaviour === 'lose-call') return err({ reason: 'timeout', verdict: 'may-have-applied' })
  const response = store.call(now, call)
  if (behaviour === 'lose-answer') return err({ reason: 'timeout', verdict: 'may-have-applied' })
  return response === 'waiting' ? err({ reason: 'timeout', verdict: 'not-applied' }) : ok(response)
}

function runCommit (behaviours: readonly CallBehaviour[], owner = OWNER.value): { readonly resolved: readonly ResolvedCommit[], readonly store: InMemoryStore, readonly writes: number } {
  const store = InMemoryStore.create()
  store.call(0, { type: 'transact', compares: [], puts: [{ key: OWNER.key, value: owner }], deletes: [] })
  const groupCommit = GroupCommit.create({ memberId: 'm1', incarnation: 'a', seed: 1, gatherMs: 50, getOwnershipRecord: () => OWNER })
  groupCommit.enqueue(0, createCommit('a'))
  const resolved: ResolvedCommit[] = []
  let calls = 0
  let writes = 0
  const applyStep = (now: number, step: GroupCommitStep): void => {
    resolved.push(...step.resolved)
    if (step.call === undefined) return
    if (step.call.type === 'transact') writes += 1
    const behaviour = behaviours[calls] ?? 'answer'
    calls += 1
    applyStep(now, groupCommit.handleResponse(now, callStore(store, now, step.call, behaviour)))
  }
  for (let now = 0; now < 20_000; now += 100) applyStep(now, groupCommit.step(now))
  return { resolved, store, writes }
}

// The first call reads the marker, the second call writes.
const cases: readonly { readonly guards: string, readonly behaviours: readonly CallBehaviour[], readonly owner?: string, readonly outcome: string, readonly stored: number, readonly writes: number }[] = [
  { guards: 'a commit is written once', behaviours: [], outcome: 'applied', stored: 1, writes: 1 },
  { guards: 'a write whose response is lost is not repeated without reading the marker', behaviours: ['answer', 'lose-answer'], outcome: 'applied', stored: 1, writes: 1 },
  { guards: 'a write that never reached the store is repeated', behaviours: ['answer', 'lose-call'], outcome: 'applied', stored: 1, writes: 2 },
  { guards: 'a failed read of the marker is repeated before anything is written', behaviours: ['answer', 'lose-answer', 'lose-call', 'refuse'], outcome: 'applied', stored: 1, writes: 1 },
  { guards: 'a write of a previous owner is refused by the store and reported as fenced', behaviours: [], owner: '{"owner":"m2","epoch":2}', outcome: 'fenced', stored: 0, writes: 1 },
  { guards: 'a commit that was never sent fails during an outage of the store', behaviours: Array<CallBehaviour>(40).fill('refuse'), outcome: 'failed', stored: 0, writes: 0 }
]

for (const entry of cases) {
  test(`group commit: ${entry.guards}`, () => {
    const { resolved, store, writes } = runCommit(entry.behaviours, entry.owner)
    const stored = store.call(30_000, { type: 'read', prefix: 'jobs/' })
    assert.deepEqual(resolved.map(({ outcome }) => outcome), [entry.outcome])
    assert.equal(stored !== 'waiting' && stored.type === 'read' && stored.entries.length, entry.stored)
    assert.equal(writes, entry.writes)
  })
}

test('group commit: a commit whose write may still reach the store is never reported as failed', () => {
  const { resolved, store } = runCommit(['answer', 'lose-call', ...Array<CallBehaviour>(8).fill('refuse')])
  assert.deepEqual(resolved.map(({ outcome }) => outcome), ['applied'])
  assert.notEqual(store.call(30_000, { type: 'read', prefix: 'jobs/0/work/a' }), 'waiting')
})
