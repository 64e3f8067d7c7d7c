import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'

const SETTLE_MS = 1_500

type Member = { readonly cell: VirtualCell, readonly host: VirtualHost }

const rows: ReadonlyArray<{ readonly guards: string, readonly change: (member: Member) => Promise<void>, readonly term: number, readonly confirmed: boolean }> = [
  { guards: 'a member refuses the term whose record it has read', change: async () => {}, term: 1, confirmed: true },
  { guards: 'a member confirms a term before that of the record', change: async () => {}, term: 0, confirmed: false },
  { guards: 'a member confirms a term of which it has read no record', change: async () => {}, term: 2, confirmed: false },
  { guards: 'a member refuses its leader while the store is down', change: async ({ cell }) => { cell.store.service = 'silent'; await cell.time.advance(6_000) }, term: 1, confirmed: true },
  { guards: 'a member forgets that a later leader has asked it to stop when it gets a damaged call', change: async ({ cell, host }) => { cell.time.runIn(host.process, () => host.member.leadership.stepDownForTerm(2)); await cell.time.runIn(host.process, () => host.member.link.handleCall({ type: 'stand-down', term: 'x' as unknown as number })) }, term: 1, confirmed: false },
  { guards: 'a member confirms after a later leader has asked it to stop', change: async ({ cell, host }) => { cell.time.runIn(host.process, () => host.member.leadership.stepDownForTerm(2)) }, term: 1, confirmed: false },
  { guards: 'a member refuses after the leader of this term has asked it to stop confirming earlier ones', change: async ({ cell, host }) => { cell.time.runIn(host.process, () => host.member.leadership.stepDownForTerm(1)) }, term: 1, confirmed: true },
  { guards: 'a member that has started while the store is down confirms what it has not read', change: async ({ cell, host }) => { cell.store.service = 'silent'; cell.restart(host); await cell.time.advance(3_000) }, term: 1, confirmed: false },
  { guards: 'a member that was asked confirms again once it has started anew', change: async ({ cell, host }) => { cell.kill(cell.leaders[0]!); await cell.time.advance(5_000); cell.restart(host); await cell.time.advance(1_000) }, term: 1, confirmed: false },
  { guards: 'a member confirms a leader whose record is removed', change: async ({ cell }) => { cell.takeAway(cell.leaders[0]!); cell.store.lostRatio = 1; await cell.time.advance(4_000) }, term: 1, confirmed: false }
]

for (const { guards, change, term, confirmed } of rows) {
  // TWICE: a witness that confirms a term after it has answered a later leader would let both go on.
  test(`confirmed terms: guards against the failure that ${guards}`, async () => {
    const cell = VirtualCell.create(4, { members: 3, targets: 1 })
    try {
      await cell.time.advance(SETTLE_MS)
      const host = cell.hosts.find((other) => other !== cell.leaders[0])!
      await change({ cell, host })
      assert.equal(cell.time.runIn(host.process, () => host.member.leadership.confirmTerm(term)), confirmed)
    } finally {
      cell.close()
    }
  })
}

test('confirmed terms: guards against the failure that a member tells that its last confirmation is longer ago than it is', async () => {
  const cell = VirtualCell.create(4, { members: 3, targets: 1 })
  try {
    await cell.time.advance(SETTLE_MS)
    const { process, member: { leadership } } = cell.hosts.find((other) => other !== cell.leaders[0])!
    assert.equal(cell.time.runIn(process, () => leadership.confirmTerm(1)), true)
    await cell.time.advance(700)
    assert.equal(cell.time.runIn(process, () => leadership.stepDownForTerm(2).unconfirmedForMs), 700)
    await cell.time.advance(500)
    assert.equal(cell.time.runIn(process, () => leadership.stepDownForTerm(3).unconfirmedForMs), 1_200)
  } finally {
    cell.close()
  }
})

test('confirmed terms: guards against the failure that a process which has confirmed nothing answers for the one before it', async () => {
  const cell = VirtualCell.create(4, { members: 3, targets: 1 })
  try {
    await cell.time.advance(SETTLE_MS)
    const host = cell.hosts.find((other) => other !== cell.leaders[0])!
    assert.equal(cell.time.runIn(host.process, () => host.member.leadership.confirmTerm(1)), true)
    cell.store.service = 'silent'
    cell.restart(host)
    await cell.time.advance(300)
    assert.equal(cell.time.runIn(host.process, () => host.member.leadership.stepDownForTerm(2).unconfirmedForMs), 300)
  } finally {
    cell.close()
  }
})
