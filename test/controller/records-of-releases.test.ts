import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from 'neverthrow'
import type { Store, StoreEntry } from '../../src/ports/store.ts'
import { readStoredState } from '../../src/controller/records/read-stored-state.ts'
import { COMMIT_KEY, TARGETS_KEY } from '../../src/controller/records/store-keys.ts'
import type { CommitRecord } from '../../src/controller/records/store-keys.ts'
import { parseRecord } from '../../src/controller/records/stored-record.ts'
import { areCommandsBound, listUnsettledTerms } from '../../src/controller/leadership/unsettled-terms.ts'
import { parseWitnesses } from '../../src/controller/leadership/witness-set.ts'
import { SILENT_REPORTER } from './relay-harness.ts'

const JOB = '00000000000000a1'
/** Records as leaders of each release have written them. */
const JOB_TEXT = `{"id":"${JOB}","queue":"short","organisation":"zuu","settings":{"version":1,"queue":{"name":"short","pool":"kit","priority":0,"maxAttempts":2,"stretch":2,"latencyObjectiveMs":250},"organisation":{"name":"zuu","weight":100,"maximum":{"cpuMillis":0,"memoryMiB":0,"accelerators":0}}},"payload":"{\\"ms\\":6000}","steps":[{"count":2,"demand":{"cpuMillis":1000,"memoryMiB":0,"accelerators":0},"estimatedMs":0,"after":[],"gang":false,"sameRack":false,"perTargetLimit":0,"speculative":false,"longRunning":false,"checkpoints":false,"image":"","latencyTargetMs":0,"fills":false,"disruptionBudget":0}],"firstAtMs":0,"intervalMs":0,"occurrences":1,"submittedAtMs":1796605994499}`
const UNBOUND_COMMIT = '{"term":1,"nonce":"0eed6e49-f124-4b00-87c1-b5ed260d8133","leader":{"member":"member-1","address":"127.0.0.1:26487","failureDomain":"east","cores":1},"unsettled":[],"reservedTerm":1,"witnesses":[{"member":"member-2","address":"127.0.0.1:19693","failureDomain":"east","cores":1}]}'
const BOUND_COMMIT = '{"term":1,"nonce":"995bc6c0-dc04-4b0a-9ece-22302c83d235","leader":{"member":"member-1","address":"127.0.0.1:25555","failureDomain":"east","cores":1,"bindsCommands":true},"unsettled":[],"reservedTerm":1,"witnesses":[{"member":"member-2","address":"127.0.0.1:27056","failureDomain":"east","cores":1,"bindsCommands":true}]}'
/** The claim of a leader of an older release that has followed one that binds, and has ended before its first commit. */
const ROLLED_BACK_CLAIM = '{"term":2,"nonce":"n","leader":{"member":"member-2","address":"127.0.0.1:27056"},"unsettled":[{"term":1,"leader":{"member":"member-1","address":"127.0.0.1:25555","failureDomain":"east","cores":1,"bindsCommands":true}}]}'
const UNBOUND_TARGETS = '{"ids":["w0","w1"],"closed":{},"incarnations":{"w0":1796605991925,"w1":1796605991925}}'
const BOUND_TARGETS = '{"ids":["w0","w1"],"closed":{},"incarnations":{"w0":1796606012924,"w1":1796606012925},"unbound":[]}'
const MARKED_TARGETS = '{"ids":["w0","w1"],"closed":{},"incarnations":{"w0":1796606012924,"w1":1796606012925},"unbound":["w1"]}'

type Case = {
  readonly guards: string
  readonly commit: string
  readonly targets: string | undefined
  /** The targets that may hold leases of other incarnations; undefined for all. */
  readonly unbound: readonly string[] | undefined
}

const cases: readonly Case[] = [
  { guards: 'the commands of an older release count as bound', commit: UNBOUND_COMMIT, targets: UNBOUND_TARGETS, unbound: undefined },
  { guards: 'the commands of an older release that has stored no targets count as bound', commit: UNBOUND_COMMIT, targets: undefined, unbound: undefined },
  { guards: 'the commands of a leader that binds count as unbound', commit: BOUND_COMMIT, targets: BOUND_TARGETS, unbound: [] },
  { guards: 'a target that a leader has marked counts as bound', commit: BOUND_COMMIT, targets: MARKED_TARGETS, unbound: ['w1'] },
  // The record of targets was that of the leader before, which says that all commands are bound.
  { guards: 'after a rollback, the commands of the older release count as bound', commit: ROLLED_BACK_CLAIM, targets: BOUND_TARGETS, unbound: undefined },
  // The older release has written its own record of targets, which lacks the field.
  { guards: 'after a rollback, the targets of the older release count as bound', commit: ROLLED_BACK_CLAIM, targets: UNBOUND_TARGETS, unbound: undefined },
  { guards: 'a leader that binds hides that one before it has not', commit: BOUND_COMMIT.replace('"unsettled":[]', `"unsettled":[{"term":1,"leader":${JSON.stringify({ member: 'member-2', address: '127.0.0.1:27056' })}}]`), targets: BOUND_TARGETS, unbound: undefined }
]

/** A store with these records. */
function createStore (records: Readonly<Record<string, string>>): Store {
  const entries: readonly StoreEntry[] = Object.entries(records).map(([key, value]) => ({ key, value, version: 1 }))
  return {
    call: async (call) => {
      if (call.type !== 'read') throw new Error(call.type)
      return ok({ type: 'read', entries: entries.filter(({ key }) => key.startsWith(call.prefix)), more: false, version: 1 })
    }
  }
}

for (const { guards, commit, targets, unbound } of cases) {
  test(`records of releases: guards against the failure that ${guards}`, async () => {
    const previous = parseRecord<CommitRecord>(commit)
    const store = createStore({ [COMMIT_KEY]: commit, ...targets !== undefined && { [TARGETS_KEY]: targets }, [`jobs/${JOB}`]: JOB_TEXT })
    const state = await readStoredState(store, SILENT_REPORTER, areCommandsBound(listUnsettledTerms(previous)))
    const restored = state?.events.find((event) => event.type === 'incarnations-restored')
    assert.ok(restored?.type === 'incarnations-restored')
    assert.deepEqual(restored.unbound, unbound)
    assert.deepEqual(state?.targets, targets === undefined ? [] : ['w0', 'w1'])
    assert.deepEqual(state.events.flatMap((event) => event.type === 'job-restored' ? [event.definition] : []), [JSON.parse(JOB_TEXT)])
  })
}

for (const [release, commit] of Object.entries({ 'an older release': UNBOUND_COMMIT, 'this release': BOUND_COMMIT })) {
  // Without them a successor waits for 8 s, because nobody tells how long the leader goes on.
  test(`records of releases: guards against the failure that the witnesses of a leader of ${release} are not asked`, () => {
    const previous = parseRecord<CommitRecord>(commit)
    assert.equal(parseWitnesses(listUnsettledTerms(previous).at(-1)?.witnesses)?.length, 1)
  })
}
