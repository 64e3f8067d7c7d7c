import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { MemberCall, MemberResponse } from '../../src/controller/member-call.ts'
import { VirtualCell } from './virtual-cell.ts'

const responses: ReadonlyArray<{ readonly name: string, readonly to: MemberCall['type'], readonly response: unknown }> = [
  { name: 'null', to: 'known-advice', response: null },
  { name: 'known advice without a list', to: 'known-advice', response: { type: 'known-advice' } },
  { name: 'known advice with null', to: 'known-advice', response: { type: 'known-advice', advice: [null] } },
  { name: 'known advice without a step', to: 'known-advice', response: { type: 'known-advice', advice: [{}] } },
  { name: 'null', to: 'hello', response: null },
  { name: 'welcome without members', to: 'hello', response: { type: 'welcome' } },
  { name: 'welcome with null as a member', to: 'hello', response: { type: 'welcome', peers: [null] } },
  { name: 'null', to: 'stand-down', response: null },
  { name: 'stood down without the time', to: 'stand-down', response: { type: 'stood-down' } },
  { name: 'null', to: 'job-stored', response: null },
  { name: 'null', to: 'phase', response: null }
]

const MEMBERS = 3

for (const { name, to, response } of responses) {
  // One response of another release, or a damaged one, ended a process, or its hellos for good.
  test(`malformed responses: guards against the failure that one ends a member or its hellos: ${name} to ${to}`, async () => {
    const cell = VirtualCell.create(1, { members: MEMBERS, targets: 3 })
    try {
      let malformed = true
      for (const { member } of cell.hosts) {
        const handleCall = member.link.handleCall.bind(member.link)
        member.link.handleCall = async (call) => malformed && call.type === to ? response as MemberResponse : await handleCall(call)
      }
      await cell.time.advance(2_000)
      cell.kill(cell.leaders[0]!)
      await cell.time.advance(6_000)
      malformed = false
      await cell.time.advance(2_000)
      const hellos = new Set<string>()
      const leader = cell.leaders[0]!
      const handleCall = leader.member.link.handleCall.bind(leader.member.link)
      leader.member.link.handleCall = async (call) => {
        if (call.type === 'hello') hellos.add(call.peer.member)
        return await handleCall(call)
      }
      cell.submit(leader, 'job', [2], 500)
      await cell.time.advance(8_000)
      assert.equal(cell.store.readPhase('job'), 'completed')
      assert.equal(hellos.size, MEMBERS - 2, 'members that say hello')
      assert.deepEqual(cell.violations, [])
    } finally {
      cell.close()
    }
  })
}
