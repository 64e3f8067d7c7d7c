import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { MemberCall } from '../../src/controller/member-call.ts'
import { buildJob } from '../workflow/harness.ts'
import { VirtualCell } from './virtual-cell.ts'

const definition = buildJob('other', { count: 2 })
const valid = { ...definition, payload: '100', submittedAtMs: 0 }

const calls: ReadonlyArray<{ readonly name: string, readonly call: unknown }> = [
  { name: 'null', call: null },
  { name: 'unknown type', call: { type: 'unknown' } },
  { name: 'hello without a peer', call: { type: 'hello' } },
  { name: 'hello without an address', call: { type: 'hello', peer: { member: 'm9' } } },
  { name: 'hello with a number as address', call: { type: 'hello', peer: { member: 'm9', address: 7 } } },
  { name: 'hello without a name', call: { type: 'hello', peer: { address: 'm9:1' } } },
  { name: 'job without a definition', call: { type: 'job-stored' } },
  { name: 'job without steps', call: { type: 'job-stored', definition: { ...valid, steps: undefined } } },
  { name: 'job with null as a step', call: { type: 'job-stored', definition: { ...valid, steps: [null] } } },
  { name: 'job with a step without a demand', call: { type: 'job-stored', definition: { ...valid, steps: [{ ...valid.steps[0], demand: undefined }] } } },
  { name: 'job with a text as number of tasks', call: { type: 'job-stored', definition: { ...valid, steps: [{ ...valid.steps[0], count: 'two' }] } } },
  { name: 'job after a step that does not exist', call: { type: 'job-stored', definition: { ...valid, steps: [{ ...valid.steps[0], after: [9] }] } } },
  { name: 'job without a queue', call: { type: 'job-stored', definition: { ...valid, queue: undefined } } },
  { name: 'job with a list as id', call: { type: 'job-stored', definition: { ...valid, id: ['other'] } } },
  { name: 'cancellation without an id', call: { type: 'cancel-stored' } },
  { name: 'phase without an id', call: { type: 'phase' } },
  { name: 'stand-down without a term', call: { type: 'stand-down' } },
  { name: 'stand-down with a text as term', call: { type: 'stand-down', term: 'x' } },
  { name: 'advice without targets', call: { type: 'advise', step: 's' } },
  { name: 'probe without an address', call: { type: 'probe' } }
]

for (const { name, call } of calls) {
  // One call of another release, or a damaged one, ended the leader, and each of its successors that got it.
  test(`malformed calls: guards against the failure that a call ends the process of the leader: ${name}`, async () => {
    const cell = VirtualCell.create(1, { members: 3, targets: 3 })
    try {
      await cell.time.advance(1_000)
      const leader = cell.leaders[0]!
      cell.time.schedule(0, () => { leader.member.link.handleCall(call as MemberCall).catch(() => {}) }, leader.process)
      await cell.time.advance(1_000)
      cell.submit(cell.hosts[0]!, 'job', [2], 500)
      await cell.time.advance(4_000)
      assert.equal(cell.leaders[0], leader)
      assert.equal(cell.store.readPhase('job'), 'completed')
      assert.deepEqual(cell.violations, [])
    } finally {
      cell.close()
    }
  })
}
