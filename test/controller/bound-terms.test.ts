import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CommitRecord } from '../../src/controller/records/store-keys.ts'
import { areCommandsBound, listUnsettledTerms } from '../../src/controller/leadership/unsettled-terms.ts'

/** The release of a leader and its member: `b` binds commands to incarnations, `u` is an older release that doesn't. */
type Leader = `${'b' | 'u'}${number}`

/** The commit record of a leader that has settled no earlier term, as both releases write it. */
function claim (previous: CommitRecord | undefined, leader: Leader): CommitRecord {
  const peer = { member: `m${leader.slice(1)}`, address: `m${leader.slice(1)}:1` }
  return { term: (previous?.term ?? 0) + 1, nonce: 'n', leader: leader.startsWith('b') ? { ...peer, bindsCommands: true } : peer, unsettled: listUnsettledTerms(previous) }
}

const chains: ReadonlyArray<{ readonly leaders: readonly Leader[], readonly bound: boolean, readonly guards: string }> = [
  { leaders: [], bound: true, guards: 'the first leader of a cell waits for commands of nobody' },
  { leaders: ['b1', 'b2', 'b1'], bound: true, guards: 'leaders that bind are taken for ones that do not' },
  { leaders: ['u1'], bound: false, guards: 'the commands of an older release count as bound' },
  // It has taken over, and ended before it had stored its targets: the targets record is that of the leader before.
  { leaders: ['b1', 'u2'], bound: false, guards: 'after a rollback, a leader of an older release is judged by the targets record of the one before' },
  { leaders: ['u1', 'b2', 'b3'], bound: false, guards: 'a leader of an older release is forgotten by the second one that follows' },
  // The member has been replaced between its terms; only its last term is listed.
  { leaders: ['u1', 'b2', 'b1'], bound: false, guards: 'a later term of the same member hides one in which it did not bind' },
  { leaders: ['u1', 'b1', 'b2', 'b1'], bound: false, guards: 'two later terms of the same member hide one in which it did not bind' }
]

for (const { leaders, bound, guards } of chains) {
  test(`bound terms: guards against the failure that ${guards} (${leaders.join(', ')})`, () => {
    const last = leaders.reduce<CommitRecord | undefined>(claim, undefined)
    assert.equal(areCommandsBound(listUnsettledTerms(last)), bound)
  })
}

// A record that is damaged, or of another release, must not make commands count as bound.
for (const leader of [undefined, null, {}, { bindsCommands: 'yes' }]) {
  test(`bound terms: guards against the failure that a malformed leader counts as one that binds: ${JSON.stringify(leader)}`, () => {
    assert.equal(areCommandsBound([{ term: 1, leader: leader as never }]), false)
  })
}
