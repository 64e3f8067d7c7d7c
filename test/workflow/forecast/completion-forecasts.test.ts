import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_FEATURES } from '../../../src/settings/index.ts'
import { isCompletionForecast } from '../../../src/workflow/forecast/completion-forecast.ts'
import { HORIZON_MS, RoomProfile } from '../../../src/workflow/forecast/room-profile.ts'
import type { Step } from '../../../src/workflow/job.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry, buildJob } from '../harness.ts'

const TICK_MS = 50
const WARM_UP_MS = 6_000
const ORGANISATION = { ...CONFIGURATION.organisations[0]!, weight: 1_000 }

type Work = { readonly organisation: string, readonly queue?: string, readonly jobs: number, readonly step?: Partial<Step> }
type Case = {
  readonly guards: string
  readonly enabled?: boolean
  readonly maximumCpuMillis?: number
  readonly weight?: number
  readonly work: readonly Work[]
  /** What happens once the work is there. */
  readonly change?: (harness: CellHarness) => void
  readonly warmUpMs?: number
  readonly waitMs?: number
  /** Organisations of the expected forecasts of the urgent queue, and their causes. */
  readonly expected: Readonly<Record<string, 'maximum' | 'room'>>
}

function configure (maximumCpuMillis: number, weight: number, version = 1): typeof CONFIGURATION {
  const maximum = { ...ORGANISATION.maximum, cpuMillis: maximumCpuMillis }
  const organisations = [{ ...ORGANISATION, name: 'busy', weight, maximum }, { ...ORGANISATION, name: 'calm' }]
  return { ...CONFIGURATION, version, queues: [QUEUE, { ...QUEUE, name: 'batch', priority: 2 }], organisations }
}

/** Runs a cell with 16 cores on four targets, whose tasks do not end. */
function forecast ({ enabled = true, maximumCpuMillis = 0, weight = 1_000, work, change, warmUpMs = WARM_UP_MS, waitMs = 2_000 }: Case): CellHarness {
  const ids = ['t1', 't2', 't3', 't4']
  const harness = CellHarness.create(ids.map((id) => buildEntry(id)), configure(maximumCpuMillis, weight), { features: { ...DEFAULT_FEATURES.scheduling, completionForecast: enabled } })
  const wait = (ms: number): void => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += TICK_MS) harness.advance(TICK_MS)
  }
  wait(warmUpMs)
  for (const [index, { organisation, queue = QUEUE.name, jobs, step }] of work.entries()) {
    for (let job = 0; job < jobs; job++) harness.apply({ type: 'job-accepted', definition: { ...buildJob(`${organisation}${index}-${job}`, { estimatedMs: 30_000, ...step }), organisation, queue } })
  }
  wait(TICK_MS)
  change?.(harness)
  wait(waitMs)
  return harness
}

const URGENT_BACKLOG: Work = { organisation: 'busy', jobs: 60 }

const cases: readonly Case[] = [
  { guards: 'the setting is off and jobs are refused', enabled: false, work: [URGENT_BACKLOG], expected: {} },
  { guards: 'jobs are accepted that their maximum holds up', maximumCpuMillis: 4_000, work: [URGENT_BACKLOG], expected: { busy: 'maximum' } },
  { guards: 'an organisation without a maximum is never refused', work: [URGENT_BACKLOG], expected: { busy: 'room' } },
  { guards: 'jobs are refused although there is room', maximumCpuMillis: 8_000, work: [{ organisation: 'busy', jobs: 6 }], expected: {} },
  { guards: 'jobs are refused for what goes after them', maximumCpuMillis: 4_000, work: [{ organisation: 'busy', queue: 'batch', jobs: 3 }, { organisation: 'busy', queue: 'batch', jobs: 60 }], expected: {} },
  { guards: 'urgent work that waits behind running batch work is not forecast', maximumCpuMillis: 4_000, work: [{ organisation: 'busy', queue: 'batch', jobs: 3 }, { organisation: 'busy', jobs: 10 }], expected: { busy: 'maximum' } },
  { guards: 'an organisation below its share is refused for the backlog of others', work: [URGENT_BACKLOG, { organisation: 'calm', jobs: 1, step: { estimatedMs: 500 } }], expected: { busy: 'room' } },
  { guards: 'jobs are refused in the first seconds of a term', warmUpMs: 1_000, maximumCpuMillis: 4_000, work: [URGENT_BACKLOG], expected: {} },
  { guards: 'jobs are refused for a burst', waitMs: 500, maximumCpuMillis: 4_000, work: [URGENT_BACKLOG], expected: {} },
  { guards: 'jobs are refused while the whole pool is silent for a moment', maximumCpuMillis: 4_000, work: [URGENT_BACKLOG], change: (harness) => { for (const id of ['t1', 't2', 't3', 't4']) harness.apply({ type: 'target-silent', id, cause: 'no-answer' }) }, expected: {} },
  { guards: 'estimates of 0 ms refuse jobs, or never end', maximumCpuMillis: 4_000, work: [{ organisation: 'busy', jobs: 60, step: { estimatedMs: 0 } }], expected: {} },
  { guards: 'work that cannot be useful any more is waited for', maximumCpuMillis: 4_000, work: [{ organisation: 'busy', jobs: 60, step: { estimatedMs: 100 } }], expected: {} },
  { guards: 'a maximum that is lowered is not forecast', work: [{ organisation: 'busy', jobs: 20 }], change: (harness) => { harness.apply({ type: 'configured', configuration: configure(2_000, 1_000, 2) }) }, expected: { busy: 'maximum' } },
  { guards: 'jobs beyond the share of their organisation are accepted behind all others', maximumCpuMillis: 16_000, weight: 0.5, work: [{ organisation: 'busy', jobs: 30 }], expected: { busy: 'maximum' } },
  { guards: 'tasks that last leave a rate of 0', maximumCpuMillis: 4_000, work: [{ organisation: 'busy', jobs: 4, step: { longRunning: true } }], expected: {} }
]

for (const case_ of cases) {
  test(`completion forecast: guards against the failure that ${case_.guards}`, () => {
    const harness = forecast(case_)
    const forecasts = harness.scheduler.forecasts.filter(({ queue }) => queue === QUEUE.name)
    assert.deepEqual(Object.fromEntries(forecasts.map(({ organisation, cause }) => [organisation, cause])), case_.expected)
    assert.ok(harness.scheduler.forecasts.every(isCompletionForecast))
  })
}

test('completion forecast: guards against the failure that jobs are refused for good once they have been', () => {
  const harness = forecast({ guards: '', maximumCpuMillis: 4_000, work: [URGENT_BACKLOG], expected: {} })
  assert.equal(harness.scheduler.forecasts.length > 0, true)
  for (let job = 0; job < 58; job++) harness.apply({ type: 'job-cancelled', id: `busy0-${job}` })
  harness.advance(400)
  assert.deepEqual(harness.scheduler.forecasts, [])
  assert.equal(harness.effects.filter((effect) => effect.type === 'log' && effect.message.startsWith('completion-overload')).length, 2)
})

const profiles: ReadonlyArray<{ readonly guards: string, readonly free: number, readonly releases?: ReadonlyArray<readonly [number, number]>, readonly waiting: ReadonlyArray<readonly [amount: number, runMs: number]>, readonly expected: number }> = [
  { guards: 'free room is waited for', free: 10, waiting: [], expected: 0 },
  { guards: 'work that fits is waited for', free: 10, waiting: [[9, 1_000]], expected: 0 },
  { guards: 'a full room is taken for free', free: 0, releases: [[1_000, 5]], waiting: [], expected: 1_000 },
  { guards: 'waiting work releases nothing', free: 10, waiting: [[100, 1_000]], expected: 10_000 },
  { guards: 'room that is held for long counts at once', free: 0, releases: [[4_000, 10]], waiting: [[10, 700]], expected: 4_750 },
  { guards: 'more use than is allowed counts as room', free: -5, releases: [[500, 5], [2_000, 5]], waiting: [], expected: 2_000 },
  { guards: 'room that is never released is waited for without end', free: 0, waiting: [[1, 1_000]], expected: HORIZON_MS },
  { guards: 'run times of 0 ms never end', free: 1, waiting: [[1_000, 0]], expected: HORIZON_MS }
]

for (const { guards, free, releases = [], waiting, expected } of profiles) {
  test(`room profile: guards against the failure that ${guards}`, () => {
    const profile = RoomProfile.create()
    for (const [afterMs, amount] of releases) profile.addRelease(afterMs, amount)
    const uses = waiting.map(([amount, runMs]) => ({ amount, runMs }))
    assert.equal(profile.computeWaitMs(free, uses), expected)
    assert.equal(profile.computeWaitMs(free, uses), expected, 'a computation leaves the profile unchanged')
  })
}
