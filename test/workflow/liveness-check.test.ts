import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LivenessCheck } from './liveness-check.ts'
import type { CellView, WaitingWork } from './liveness-check.ts'

const INTERVAL_MS = 100
/** When the task's last run ends, long after the last disturbance. */
const END_AT_MS = 20_000

const TASK: WaitingWork = { key: 'j1.0.0.0', kind: 'lasting-task', idleSince: END_AT_MS, lastRun: 'run 7 on t1 ended lapsed at 20000', cpuMillis: [1_000], usedMaximum: 0.4 }
const JOB: WaitingWork = { ...TASK, key: 'j2', kind: 'job' }
const VIEW: Omit<CellView, 'now'> = { disturbed: false, waiting: [], freeCpuMillis: [1_000, 1_000], usedCapacity: 0.9 }

type Case = {
  readonly what: string
  readonly work: WaitingWork
  /** When its next run starts. */
  readonly startedAt: number
  /** What differs from a calm view with room at a time. */
  readonly see?: (now: number) => Partial<CellView>
  readonly expected: RegExp | undefined
}

const isAt = (now: number, at: number): boolean => now === at

const cases: readonly Case[] = [
  { what: 'a task that lasts starts 8.9 s after its last run', work: TASK, startedAt: 28_900, expected: undefined },
  { what: 'a task that lasts starts 9.5 s after its last run', work: TASK, startedAt: 29_500, expected: /^lasting-task j1\.0\.0\.0 had nothing running for 9500 ms until 29500, overdue at 29000, calm since 0; run 7 on t1 ended lapsed at 20000$/ },
  { what: 'a task that lasts never starts again', work: TASK, startedAt: Infinity, expected: /nothing running for 40000 ms until 60000/ },
  { what: 'a task that lasts starts 6.9 s after a disturbance', work: TASK, startedAt: 34_900, see: (now) => ({ disturbed: isAt(now, 28_000) }), expected: undefined },
  { what: 'a task that lasts starts 7.5 s after a disturbance', work: TASK, startedAt: 35_500, see: (now) => ({ disturbed: isAt(now, 28_000) }), expected: /until 35500, overdue at 35000, calm since 28000/ },
  { what: 'disturbances follow one another every 6 s', work: TASK, startedAt: 59_000, see: (now) => ({ disturbed: now % 6_000 === 0 }), expected: undefined },
  { what: 'there is room for one task only', work: TASK, startedAt: 59_000, see: () => ({ freeCpuMillis: [1_900] }), expected: undefined },
  { what: 'there is room for two, each too small for one', work: TASK, startedAt: 59_000, see: () => ({ freeCpuMillis: [900, 900, 900] }), expected: undefined },
  { what: 'there is room for 2.9 s on end', work: TASK, startedAt: 59_000, see: (now) => ({ freeCpuMillis: now % 3_000 === 0 ? [] : [2_000] }), expected: undefined },
  { what: 'the organisation uses half of its maximum', work: { ...TASK, usedMaximum: 0.5 }, startedAt: 59_000, expected: undefined },
  { what: 'a job starts 2.9 s after it was due', work: JOB, startedAt: 22_900, see: () => ({ usedCapacity: 0.4 }), expected: undefined },
  { what: 'a job starts 3.5 s after it was due', work: JOB, startedAt: 23_500, see: () => ({ usedCapacity: 0.4 }), expected: /^job j2 had nothing running for 3500 ms/ },
  { what: 'a job waits while half of the capacity is in use', work: JOB, startedAt: 59_000, see: () => ({ usedCapacity: 0.5 }), expected: undefined },
  { what: 'a gang of two waits with room for three tasks', work: { ...JOB, cpuMillis: [1_000, 1_000] }, startedAt: 59_000, see: () => ({ usedCapacity: 0.4, freeCpuMillis: [3_000] }), expected: undefined },
  { what: 'a gang of two waits with room for four tasks', work: { ...JOB, cpuMillis: [1_000, 1_000] }, startedAt: 59_000, see: () => ({ usedCapacity: 0.4, freeCpuMillis: [3_000, 1_000] }), expected: /^job j2 had nothing running for 39000 ms/ }
]

for (const { what, work, startedAt, see, expected } of cases) {
  test(`liveness check: ${expected === undefined ? 'excuses' : 'reports'} that ${what}`, () => {
    const check = LivenessCheck.create()
    for (let now = 0; now <= 60_000; now += INTERVAL_MS) {
      const waiting = now >= work.idleSince && now < startedAt ? [work] : []
      check.observe({ ...VIEW, now, waiting, ...see?.(now) })
    }
    check.finish(60_000)
    assert.equal(check.violations.length, expected === undefined ? 0 : 1, check.violations.join('\n'))
    if (expected !== undefined) assert.match(check.violations[0]!, expected)
  })
}
