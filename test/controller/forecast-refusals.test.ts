import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ForecastRefusals } from '../../src/controller/admission/forecast-refusals.ts'
import type { CompletionForecast } from '../../src/workflow/forecast/completion-forecast.ts'
import { isCompletionForecast } from '../../src/workflow/forecast/completion-forecast.ts'
import type { JobDefinition, Step } from '../../src/workflow/job.ts'
import { buildJob } from '../workflow/harness.ts'

/** A job of ten tasks of 500 ms is of use for 3 s, and so can wait for 2.5 s. It takes 1 s of what such jobs may use. */
const FORECAST: CompletionForecast = { queue: 'stock', organisation: 'zuu', cause: 'maximum', waitMs: 4_000, rate: { cpuMillis: 5_000, memoryMiB: 0, accelerators: 0 }, members: 1, objective: { stretch: 1.5, latencyObjectiveMs: 250 } }
const STEP: Partial<Step> = { count: 10, estimatedMs: 500 }

const submissions: ReadonlyArray<{ readonly guards: string, readonly forecast?: Partial<CompletionForecast>, readonly step?: Partial<Step>, readonly job?: Partial<JobDefinition>, readonly expected: number | undefined }> = [
  { guards: 'a job is accepted that would be of no use', expected: 1_500 },
  { guards: 'a job is refused that would be late but of use', forecast: { waitMs: 2_500 }, expected: undefined },
  { guards: 'jobs are refused although the newest go first, and most of them end in time', forecast: { waitMs: 8_900, newestFirst: true }, expected: undefined },
  { guards: 'jobs are accepted of which most would be put off by newer ones', forecast: { waitMs: 11_500, newestFirst: true }, expected: 2_500 },
  { guards: 'a caller is told to come back at once', forecast: { waitMs: 2_600 }, expected: 1_000 },
  { guards: 'a short wait refuses jobs with an early objective', forecast: { waitMs: 1_000 }, step: { estimatedMs: 1 }, expected: undefined },
  { guards: 'a wait without end is told to the caller', forecast: { waitMs: 60_000 }, expected: 30_000 },
  { guards: 'another queue is refused', forecast: { queue: 'other' }, expected: undefined },
  { guards: 'another organisation is refused', forecast: { organisation: 'other' }, expected: undefined },
  { guards: 'tasks that last are refused', step: { longRunning: true }, expected: undefined },
  { guards: 'a job that is due later is refused', job: { firstAtMs: 1 }, expected: undefined },
  { guards: 'a job is refused in doubt about its run time', forecast: { waitMs: 2_900, runTimes: { interceptMs: 50, slope: 0, minDeclaredMs: 0, maxDeclaredMs: 1_000, floorMs: 0, spreadMs: 0 } }, expected: undefined },
  { guards: 'estimates of 0 ms divide by zero', forecast: { rate: { cpuMillis: 0, memoryMiB: 0, accelerators: 0 } }, step: { estimatedMs: 0 }, expected: 3_000 }
]

for (const { guards, forecast = {}, step = {}, job = {}, expected } of submissions) {
  test(`forecast refusals: guards against the failure that ${guards}`, () => {
    const refusals = ForecastRefusals.create(() => 0, () => 0)
    assert.equal(refusals.getRetryAfterMs({ ...buildJob('a', { ...STEP, ...step }), ...job }, [{ ...FORECAST, ...forecast }]), expected)
  })
}

type Attempt = { readonly id: string, readonly at: number, readonly waitMs?: number, readonly expected: number | undefined }

const sequences: ReadonlyArray<{ readonly guards: string, readonly members?: number, readonly attempts: readonly Attempt[] }> = [
  { guards: 'callers that are refused come back at the same time', attempts: [{ id: 'a', at: 0, expected: 1_500 }, { id: 'b', at: 0, expected: 2_500 }, { id: 'c', at: 0, expected: 3_500 }] },
  { guards: 'members together tell more callers to come back than there is room for', members: 3, attempts: [{ id: 'a', at: 0, expected: 1_500 }, { id: 'b', at: 0, expected: 4_500 }] },
  { guards: 'a caller that comes back too early loses its time', attempts: [{ id: 'a', at: 0, expected: 1_500 }, { id: 'b', at: 0, expected: 2_500 }, { id: 'a', at: 300, expected: 1_200 }] },
  { guards: 'a caller that comes back early waits although there is room', attempts: [{ id: 'a', at: 0, expected: 1_500 }, { id: 'a', at: 300, waitMs: 2_000, expected: undefined }] },
  { guards: 'a newcomer takes the room of a caller that was told to come back', attempts: [{ id: 'a', at: 0, expected: 1_500 }, { id: 'new', at: 1_500, waitMs: 2_500, expected: 2_000 - 1_000 }, { id: 'a', at: 1_500, waitMs: 2_500, expected: undefined }] },
  { guards: 'a caller that comes at its time is refused for what is not precise', attempts: [{ id: 'a', at: 0, expected: 1_500 }, { id: 'a', at: 1_500, waitMs: 3_000, expected: undefined }] },
  { guards: 'a caller that comes at its time is accepted although the load has grown', attempts: [{ id: 'a', at: 0, expected: 1_500 }, { id: 'a', at: 1_500, waitMs: 9_000, expected: 6_500 }] },
  { guards: 'a caller that never comes back keeps others waiting', attempts: [{ id: 'a', at: 0, expected: 1_500 }, { id: 'new', at: 5_000, waitMs: 2_500, expected: undefined }] }
]

for (const { guards, members = 1, attempts } of sequences) {
  test(`forecast refusals: guards against the failure that ${guards}`, () => {
    let now = 0
    const refusals = ForecastRefusals.create(() => now, () => 0)
    const times = attempts.map(({ id, at, waitMs = FORECAST.waitMs }) => {
      now = at
      return refusals.getRetryAfterMs(buildJob(id, STEP), [{ ...FORECAST, members, waitMs }])
    })
    assert.deepEqual(times, attempts.map(({ expected }) => expected))
  })
}

const BEYOND_SHARE = { waitMs: 20_000, ratio: 0.6, intervalMs: 500 }

// Members don't know which jobs are beyond the share: of all, the ratio is refused that the leader would serve last.
const drawn: ReadonlyArray<{ readonly guards: string, readonly draw: number, readonly waitMs?: number, readonly expected: number | undefined }> = [
  { guards: 'jobs beyond the share of their organisation are accepted behind all others', draw: 0.59, expected: 1_000 },
  { guards: 'jobs within the share of their organisation are refused', draw: 0.6, expected: undefined },
  { guards: 'jobs beyond the share are refused although they would be of use', draw: 0, waitMs: 2_500, expected: undefined }
]

for (const { guards, draw, waitMs = BEYOND_SHARE.waitMs, expected } of drawn) {
  test(`forecast refusals: guards against the failure that ${guards}`, () => {
    let now = 0
    const refusals = ForecastRefusals.create(() => now, () => draw)
    const forecast = { ...FORECAST, waitMs: 0, beyondShare: { ...BEYOND_SHARE, waitMs } }
    const retryAfterMs = refusals.getRetryAfterMs(buildJob('a', STEP), [forecast])
    assert.equal(retryAfterMs, expected)
    assert.equal(refusals.getRetryAfterMs(buildJob('a', STEP), [forecast]), expected, 'keeps its time')
    now = retryAfterMs ?? 0
    assert.equal(refusals.getRetryAfterMs(buildJob('a', STEP), [forecast]), undefined, 'accepted at its time')
  })
}

const damaged: readonly unknown[] = [{ ...FORECAST, beyondShare: { waitMs: 1 } }, null, 1, [], {}, { ...FORECAST, rate: undefined }, { ...FORECAST, waitMs: NaN }, { ...FORECAST, waitMs: '4' }, { ...FORECAST, members: 0 }, { ...FORECAST, rate: { ...FORECAST.rate, cpuMillis: -1 } }, { ...FORECAST, objective: { stretch: 1 } }, { ...FORECAST, runTimes: { slope: 1 } }]

test('forecast refusals: guards against the failure that a damaged forecast is used, or one of a later release is not', () => {
  assert.deepEqual(damaged.filter(isCompletionForecast), [])
  assert.equal(isCompletionForecast({ ...FORECAST, further: 1 }), true)
})
