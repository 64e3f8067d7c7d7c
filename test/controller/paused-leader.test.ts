import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'

/** Events of the leader after which it is paused: responses, calls and timers. */
const PAUSE_POINTS = 48
/** Longer than a successor waits for the leader and for the leases of its runs. */
const PAUSE_MS = 14_000
const AFTER_MS = 6_000
const TASK_MS = 30_000
const JOBS = 6

/** Plays a leader that is paused after a number of events. Others don't reach two targets, so that these still obey it. */
async function playPause (events: number): Promise<readonly string[]> {
  const cell = VirtualCell.create(events, { members: 3, targets: 4 })
  try {
    await cell.time.advance(1_500)
    const leader = cell.leaders[0]!
    for (const host of cell.hosts) host.unreachedTargets = new Set(host === leader ? [] : ['t0', 't1'])
    for (let index = 0; index < JOBS; index += 1) cell.submit(cell.hosts[index % 3]!, `j${index}`, [3], TASK_MS)
    leader.process.eventsUntilPause = events
    await cell.time.advance(PAUSE_MS)
    assert.ok(cell.leaders.some((host) => host !== leader), 'another member leads')
    cell.time.resume(leader.process)
    await cell.time.advance(AFTER_MS)
    cell.history.checkEnds()
    return cell.violations
  } finally {
    cell.close()
  }
}

// Between a decision and its command a leader waits for timers, the store or a response; it may be paused at each of them.
test('paused leader: guards against the failure that a leader which is paused at any moment gives out what it had decided before', async () => {
  for (let events = 1; events <= PAUSE_POINTS; events += 1) assert.deepEqual(await playPause(events), [], `paused after ${events} events`)
})
