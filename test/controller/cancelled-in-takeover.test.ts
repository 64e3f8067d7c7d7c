import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'

/** A task may start so long after the cancelling of its job was acknowledged, in milliseconds. */
const CANCEL_BOUND_MS = 3_000
const JOBS = 60
const JOB_INTERVAL_MS = 100
const CANCEL_DELAYS_MS = [0, 50, 200, 700]
const CANCEL_TIMEOUT_MS = 3_000
const FAULT_AT_MS = 2_000
const PAUSE_MS = 4_000

const faults: ReadonlyArray<{ readonly name: string, readonly begin: (cell: VirtualCell, leader: VirtualHost) => void }> = [
  { name: 'killed, same address', begin: (cell, leader) => cell.restart(leader) },
  { name: 'host gone', begin: (cell, leader) => cell.takeAway(leader) },
  { name: 'paused', begin: (cell, { process }) => { cell.time.pause(process); cell.time.schedule(PAUSE_MS, () => cell.time.resume(process)) } },
  { name: 'without the store, still called by members', begin: (cell, { connection }) => { connection.service = 'silent'; cell.time.schedule(PAUSE_MS, () => { connection.service = 'served' }) } },
  { name: 'rejected by the store', begin: (cell, { connection }) => { connection.service = 'rejected'; cell.time.schedule(PAUSE_MS, () => { connection.service = 'served' }) } },
  { name: 'resigns', begin: (_cell, { member }) => { member.leadership.resign().catch(() => {}) } },
  { name: 'stays, not called by members', begin: (_cell, leader) => { leader.cutFromMembers = true } }
]

for (const { name, begin } of faults) {
  // UNASKED: seen once on a large cell; a cancellation that one leader has noted must be known to the next one in time.
  test(`cancelled in a takeover: guards against the failure that a task starts long after the cancelling of its job was acknowledged: leader ${name}`, async (context) => {
    const cell = VirtualCell.create(1, { members: 4, targets: 4 })
    try {
      const { history, hosts, random, time } = cell
      const acknowledgedAt = new Map<string, number>()
      const delays: number[] = []
      const recordStart = history.recordStart.bind(history)
      history.recordStart = (task, ...details) => {
        const at = acknowledgedAt.get(task.split('.')[0]!)
        if (at !== undefined) delays.push(time.nowMs - at)
        recordStart(task, ...details)
      }
      await time.advance(1_000)
      const leader = cell.leaders[0]!
      const others = hosts.filter((host) => host !== leader)
      const pickHost = (): VirtualHost => others[random.nextInt(others.length)]!
      for (let index = 0; index < JOBS; index += 1) {
        const id = `j${index}`
        time.schedule(index * JOB_INTERVAL_MS, () => cell.submit(pickHost(), id, [2, 2, 2], 600))
        time.schedule(index * JOB_INTERVAL_MS + CANCEL_DELAYS_MS[index % CANCEL_DELAYS_MS.length]!, () => {
          const host = pickHost()
          time.schedule(0, () => {
            host.member.jobService.cancel(id, performance.now() + CANCEL_TIMEOUT_MS).then(({ type }) => { if (type === 'found') acknowledgedAt.set(id, time.nowMs) }, () => {})
          }, host.process)
        })
      }
      time.schedule(FAULT_AT_MS, () => begin(cell, leader))
      await time.advance(JOBS * JOB_INTERVAL_MS + 20_000)
      const longestMs = Math.max(0, ...delays)
      context.diagnostic(`${acknowledgedAt.size} cancellations, ${delays.length} starts after one, at most ${Math.round(longestMs)} ms`)
      assert.ok(acknowledgedAt.size > JOBS / 2)
      assert.ok(longestMs <= CANCEL_BOUND_MS)
      assert.deepEqual(cell.violations, [])
    } finally {
      cell.close()
    }
  })
}
