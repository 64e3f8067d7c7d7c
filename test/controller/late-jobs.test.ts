import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildJob } from '../workflow/harness.ts'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'

const TIMEOUT_MS = 1_000
/** Time in which the tasks of the short job end. */
const EARLY_MS = 100
const END_MS = 20_000

type Removal = {
  readonly guards: string
  readonly unreachedByLeader: readonly string[]
  readonly unreachedByOthers: readonly string[]
  readonly taskMs: number
  /** Whether the leader learns of the job before its record is removed, or after that. */
  readonly announcedBefore: boolean
  /** When the job is stored, after the successor was elected. */
  readonly storedAfterMs: number
}

const removals: readonly Removal[] = [
  {
    guards: 'a job that a leader accepts after the removal of its record is started by its successor too',
    unreachedByLeader: ['t2', 't3'],
    unreachedByOthers: ['t0', 't1'],
    taskMs: 2_000,
    announcedBefore: false,
    storedAfterMs: 100
  },
  {
    guards: 'the end of a run of a job that becomes known a moment later is acknowledged and forgotten',
    unreachedByLeader: [],
    unreachedByOthers: [],
    taskMs: 1,
    announcedBefore: true,
    storedAfterMs: 300
  }
]

/** Ends the lease of a leader that runs on, as others do that are refused connections by it. */
async function removeLeader (cell: VirtualCell, leader: VirtualHost): Promise<VirtualHost> {
  const remover = cell.hosts.find((host) => host !== leader)!
  const record = remover.member.leadership.leader!
  cell.time.schedule(0, () => { remover.member.leadership.removeEndedLeader(record).catch(() => {}) }, remover.process)
  await cell.time.advance(TIMEOUT_MS, () => cell.leaders.some((host) => host !== leader))
  return cell.leaders.find((host) => host !== leader)!
}

// The lease of the removed leader counts as confirmed for 1.3 s. A member that still takes it for the leader announces a job.
for (const { guards, unreachedByLeader, unreachedByOthers, taskMs, announcedBefore, storedAfterMs } of removals) {
  test(`late jobs: guards against the failure that ${guards}`, async () => {
    const cell = VirtualCell.create(5, { members: 3, targets: 4 })
    try {
      await cell.time.advance(2_000)
      const leader = cell.leaders[0]!
      leader.connection.service = 'silent'
      leader.cutFromMembers = true
      for (const host of cell.hosts) host.unreachedTargets = new Set(host === leader ? unreachedByLeader : unreachedByOthers)
      const definition = { ...buildJob('late', { count: 2 }), payload: String(taskMs) }
      const announce = (): void => { cell.time.schedule(0, () => { leader.member.link.handleCall({ type: 'job-stored', definition }).catch(() => {}) }, leader.process) }
      if (announcedBefore) announce()
      await cell.time.advance(EARLY_MS)
      const successor = await removeLeader(cell, leader)
      if (!announcedBefore) announce()
      await cell.time.advance(storedAfterMs)
      cell.submit(successor, definition.id, [2], taskMs)
      await cell.time.advance(END_MS)
      cell.history.checkEnds()
      assert.deepEqual(cell.violations, [])
      assert.equal(cell.store.readPhase(definition.id), 'completed')
    } finally {
      cell.close()
    }
  })
}
