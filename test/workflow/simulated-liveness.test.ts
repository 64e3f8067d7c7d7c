import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Random } from '../../src/util/random.ts'
import { buildJob } from './harness.ts'
import { LastRuns } from './last-runs.ts'
import { SimulatedLiveness } from './simulated-liveness.ts'
import { SimulatedTarget } from './simulated-target.ts'
import { VirtualTime } from './virtual-time.ts'

const END_MS = 40_000
const MAXIMUM_CPU_MILLIS = 4_000

const LASTING = buildJob('j1', { longRunning: true })
const PLAIN = buildJob('j2', {})

type Scene = { readonly time: VirtualTime, readonly targets: ReadonlyMap<string, SimulatedTarget>, readonly state: { hasFaults: boolean, epoch: number } }

/** Runs tasks of another job on a target. */
function occupy (target: SimulatedTarget, count: number): void {
  for (let index = 0; index < count; index += 1) {
    target.start({ task: `other.0.0.${index}`, run: 1, leaseUntilMs: END_MS, epoch: 1, durationMs: Infinity, fails: false, lacksRoom: false }, 0)
  }
}

const cases: ReadonlyArray<{ readonly what: string, readonly job: typeof LASTING, readonly arrange?: (scene: Scene) => void, readonly expected: number }> = [
  { what: 'a task that lasts and never starts', job: LASTING, expected: 1 },
  { what: 'a job that never starts', job: PLAIN, expected: 1 },
  { what: 'a task that lasts beside a target that is away', job: LASTING, arrange: ({ targets }) => targets.get('t0')!.goAway('silent'), expected: 1 },
  { what: 'a task that lasts beside a target that is cut off', job: LASTING, arrange: ({ targets }) => { targets.get('t0')!.unreachableUntil = END_MS + 1 }, expected: 0 },
  { what: 'a task that lasts while faults are injected', job: LASTING, arrange: ({ state }) => { state.hasFaults = true }, expected: 0 },
  { what: 'a task that lasts while leaders change every 6 s', job: LASTING, arrange: ({ time, state }) => time.scheduleEvery(6_000, () => { state.epoch += 1 }), expected: 0 },
  { what: 'a task that lasts while a target restarts every 6 s', job: LASTING, arrange: ({ time, targets }) => time.scheduleEvery(6_000, () => targets.get('t0')!.crash(time.now)), expected: 0 },
  { what: 'a task that lasts where all targets are away', job: LASTING, arrange: ({ targets }) => { for (const target of targets.values()) target.goAway('refusing') }, expected: 0 },
  { what: 'a task that lasts whose organisation uses half of its maximum', job: LASTING, arrange: ({ targets }) => occupy(targets.get('t0')!, 2), expected: 0 },
  { what: 'a task that lasts whose organisation uses less', job: LASTING, arrange: ({ targets }) => occupy(targets.get('t0')!, 1), expected: 1 }
]

for (const { what, job, arrange, expected } of cases) {
  test(`simulated liveness: ${expected === 0 ? 'excuses' : 'reports'} ${what}`, () => {
    const time = VirtualTime.create()
    const targets = new Map(['t0', 't1'].map((id) => [id, SimulatedTarget.create({ id, random: Random.create(1), longestLeaseMs: 2 * END_MS, onCompletion: () => {}, onAcknowledged: () => {} })]))
    const state = { hasFaults: false, epoch: 1 }
    const liveness = SimulatedLiveness.create({ time, targets, lastRuns: LastRuns.create(), maximumCpuMillis: MAXIMUM_CPU_MILLIS, findOwedJobs: () => [job], hasFaults: () => state.hasFaults, getEpoch: () => state.epoch })
    arrange?.({ time, targets, state })
    liveness.start()
    time.runUntil(END_MS)
    assert.equal(liveness.finish().length, expected)
  })
}
