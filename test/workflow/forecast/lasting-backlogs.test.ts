import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_FEATURES } from '../../../src/settings/index.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry, buildJob } from '../harness.ts'

const DECLARED_MS = 500
/** Runs take a little longer than declared, so that a job that starts at the last moment is late. */
const RUN_MS = 600
const TICK_MS = 50
/** Within which a job of one task is on time. */
const OBJECTIVE_MS = QUEUE.stretch * DECLARED_MS + QUEUE.latencyObjectiveMs
const ORGANISATION = CONFIGURATION.organisations[0]!

type Load = { readonly organisation: string, readonly everyMs: number, readonly untilMs: number }

/** Runs jobs of one task in a cell with room for one of them; returns the organisation, the start and the wait of each in their order. */
function run (loads: readonly Load[], enabled: boolean, weight = 100): ReadonlyArray<{ readonly organisation: string, readonly startedAt: number, readonly waitedMs: number }> {
  const organisations = loads.map(({ organisation }) => ({ ...ORGANISATION, name: organisation, weight }))
  const capacity = { cpuMillis: 1_000, memoryMiB: 1_000, accelerators: 0 }
  const harness = CellHarness.create([buildEntry('t1', { capacity })], { ...CONFIGURATION, organisations }, { features: { ...DEFAULT_FEATURES.scheduling, newestFirstInBacklog: enabled } })
  const jobs = new Map<string, { readonly organisation: string, readonly at: number }>()
  const started = []
  const endsAt = new Map<ReturnType<CellHarness['getStarts']>[number], number>()
  const begunAt = harness.now
  let seen = 0
  while (harness.now - begunAt < 60_000) {
    const elapsedMs = harness.now - begunAt
    for (const { organisation, everyMs, untilMs } of loads) {
      if (elapsedMs >= untilMs || elapsedMs % everyMs !== 0) continue
      const id = `${organisation}${elapsedMs}`
      jobs.set(id, { organisation, at: harness.now })
      harness.apply({ type: 'job-accepted', definition: { ...buildJob(id, { estimatedMs: DECLARED_MS }), organisation } })
    }
    harness.advance(TICK_MS)
    for (const [start, at] of endsAt) {
      if (at > harness.now) continue
      endsAt.delete(start)
      harness.completeRun(start, 'done')
    }
    const starts = harness.getStarts()
    for (; seen < starts.length; seen += 1) {
      const start = starts[seen]!
      harness.acceptStart(start)
      endsAt.set(start, harness.now + RUN_MS)
      const job = jobs.get(start.command.task.split('.')[0]!)!
      started.push({ organisation: job.organisation, startedAt: harness.now - begunAt, waitedMs: harness.now - job.at })
    }
  }
  return started
}

const isOnTime = ({ waitedMs }: { readonly waitedMs: number }): boolean => waitedMs + RUN_MS <= OBJECTIVE_MS
const OVERLOAD: Load = { organisation: 'busy', everyMs: 400, untilMs: 20_000 }

// In the order of their ages, each job of a lasting backlog started when it had just become too late.
test('order under overload: guards against the failure that all jobs of a lasting backlog are late', () => {
  const [before, after] = [false, true].map((enabled) => run([OVERLOAD], enabled).filter(isOnTime).length)
  assert.ok(after! >= 30 && after! > 1.5 * before!, `${before} jobs on time before, ${after} after`)
})

const starvation: ReadonlyArray<{ readonly guards: string, readonly loads: readonly Load[], readonly weight?: number }> = [
  { guards: 'jobs that became late are never started', loads: [OVERLOAD] },
  { guards: 'jobs beyond the share of their organisation are never started', loads: [OVERLOAD], weight: 1 },
  { guards: 'jobs of two organisations are never started', loads: [OVERLOAD, { organisation: 'other', everyMs: 2_000, untilMs: 20_000 }] }
]

for (const { guards, loads, weight } of starvation) {
  test(`order under overload: guards against the failure that ${guards} although there is room after the load`, () => {
    const submitted = loads.reduce((sum, { everyMs, untilMs }) => sum + Math.ceil(untilMs / everyMs), 0)
    assert.equal(run(loads, true, weight).length, submitted)
  })
}

test('order under overload: guards against the failure that the backlog of one organisation puts off another', () => {
  const quiet: Load = { organisation: 'other', everyMs: 2_000, untilMs: 20_000 }
  const [before, after] = [false, true].map((enabled) => run([OVERLOAD, quiet], enabled).filter(({ organisation, ...job }) => organisation === 'other' && isOnTime(job)).length)
  assert.ok(after! >= before!, `${before} jobs on time before, ${after} after`)
})

test('order under overload: guards against the failure that the order changes without a backlog', () => {
  const light: Load = { organisation: 'busy', everyMs: 700, untilMs: 20_000 }
  assert.deepEqual(run([light], true), run([light], false))
})
