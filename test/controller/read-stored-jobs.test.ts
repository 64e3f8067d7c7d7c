import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { parseJob } from '../../platform/job-body.ts'
import { StoredJobs } from '../../src/controller/records/stored-jobs.ts'
import { isJobDefinition } from '../../src/controller/records/record-guards.ts'
import { readStoredSettings } from '../../src/controller/records/read-stored-settings.ts'
import { SETTINGS_KEY, cancelKey, jobKey, progressKey } from '../../src/controller/records/store-keys.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry, buildJob, createHarnessWithTarget } from '../workflow/harness.ts'

const SEED = 20261204
const RUNS = 400
const PROGRESS = JSON.stringify({ phase: 'running', nextOccurrence: 1, open: { 0: [{ done: '0', failedRuns: {}, gangFailedRuns: [] }] } })
const PROGRESS_WITH_CRASHES = JSON.stringify({ phase: 'running', nextOccurrence: 1, open: { 0: [{ done: '0', failedRuns: {}, gangFailedRuns: [], crashes: { 0: { confirmed: { 't1:80#1': true }, possible: { 't2:80#1': false } } } }] } })

type Stored = { readonly key: string, readonly value: string }

function read (jobs: readonly Stored[], progress: readonly Stored[] = []): { readonly events: readonly CellEvent[], readonly reports: readonly string[] } {
  const reports: string[] = []
  const storedJobs = StoredJobs.create((message, key) => reports.push(`${message} ${key}`))
  for (const entry of jobs) storedJobs.addJob(entry)
  for (const entry of progress) storedJobs.addProgress(entry)
  return { events: storedJobs.toEvents(), reports }
}

const good = { key: jobKey('a'), value: JSON.stringify(buildJob('a', {})) }

const SETTINGS = { version: 3, queue: QUEUE, organisation: CONFIGURATION.organisations[0] }
const GOOD_WITH_SETTINGS = JSON.stringify({ ...buildJob('b', {}), settings: SETTINGS })

const unreadable: ReadonlyArray<{ readonly guards: string, readonly jobs: readonly Stored[], readonly progress?: readonly Stored[], readonly events: readonly string[], readonly reports: readonly string[] }> = [
  { guards: 'a definition that is not JSON', jobs: [{ key: jobKey('b'), value: '{' }, good], events: ['job-restored a'], reports: ['job-unreadable jobs/b'] },
  { guards: 'a definition without steps', jobs: [{ key: jobKey('b'), value: '{"id":"b"}' }, good], events: ['job-restored a'], reports: ['job-unreadable jobs/b'] },
  { guards: 'a definition that is null', jobs: [{ key: jobKey('b'), value: 'null' }, good], events: ['job-restored a'], reports: ['job-unreadable jobs/b'] },
  { guards: 'settings without a pool', jobs: [{ key: jobKey('b'), value: GOOD_WITH_SETTINGS.replace('"pool":"kit"', '"pool":1') }, good], events: ['job-restored b', 'job-restored a'], reports: ['settings-unreadable jobs/b'] },
  { guards: 'settings that are null', jobs: [{ key: jobKey('b'), value: JSON.stringify({ ...buildJob('b', {}), settings: null }) }, good], events: ['job-restored b', 'job-restored a'], reports: ['settings-unreadable jobs/b'] },
  { guards: 'progress of a job that nobody stored', jobs: [good], progress: [{ key: progressKey('gone'), value: '[]' }], events: ['job-restored a'], reports: ['progress-unreadable progress/gone'] },
  { guards: 'progress whose finished tasks are no number', jobs: [good], progress: [{ key: progressKey('a'), value: PROGRESS.replace('"done":"0"', '"done":"z"') }], events: ['ended-job-restored a'], reports: ['progress-unreadable progress/a'] },
  { guards: 'progress whose next occurrence is no number of one', jobs: [good], progress: [{ key: progressKey('a'), value: PROGRESS.replace('"nextOccurrence":1', '"nextOccurrence":-1e300') }], events: ['ended-job-restored a'], reports: ['progress-unreadable progress/a'] },
  { guards: 'progress of an occurrence without a number', jobs: [good], progress: [{ key: progressKey('a'), value: PROGRESS.replace('"0":[', '"z":[') }], events: ['ended-job-restored a'], reports: ['progress-unreadable progress/a'] }
]

function describe (event: CellEvent): string {
  switch (event.type) {
    case 'job-restored': return `job-restored ${event.definition.id}`
    case 'ended-job-restored':
    case 'job-cancelled': return `${event.type} ${event.id}`
    default: return event.type
  }
}

for (const { guards, jobs, progress, events, reports } of unreadable) {
  test(`stored jobs: ${guards} is reported and does not keep a new leader from the others`, () => {
    const outcome = read(jobs, progress)
    assert.deepEqual(outcome.events.map(describe), events)
    assert.deepEqual(outcome.reports, reports)
  })
}

test('stored jobs: unreadable settings are left out, readable ones are kept', () => {
  const jobs = [{ key: jobKey('b'), value: GOOD_WITH_SETTINGS }, { key: jobKey('c'), value: GOOD_WITH_SETTINGS.replace('"b"', '"c"').replace('"maxAttempts":2', '"maxAttempts":"2"') }]
  const settings = read(jobs).events.map((event) => event.type === 'job-restored' ? event.definition.settings : undefined)
  assert.deepEqual(settings, [JSON.parse(JSON.stringify(SETTINGS)), undefined])
})

const storedSettings = [
  { guards: 'a missing record', value: undefined, queues: undefined, reported: false },
  { guards: 'a record that is not JSON', value: '{', queues: [], reported: true },
  { guards: 'a record without lists', value: '{}', queues: [], reported: true },
  { guards: 'a record with an unreadable queue', value: JSON.stringify({ queues: [{ version: 3, settings: { ...QUEUE, name: 'bad', stretch: null } }, null, { version: 3, settings: QUEUE }], organisations: [] }), queues: ['stock'], reported: true },
  { guards: 'a readable record', value: JSON.stringify({ queues: [{ version: 3, settings: QUEUE }], organisations: [{ version: 3, settings: SETTINGS.organisation }] }), queues: ['stock'], reported: false }
]

for (const { guards, value, queues, reported } of storedSettings) {
  test(`stored settings: ${guards} keeps a new leader from nothing else`, () => {
    const reports: string[] = []
    const events = readStoredSettings(value === undefined ? [] : [{ key: SETTINGS_KEY, value }], (key) => reports.push(key))
    assert.deepEqual(events.map((event) => event.type === 'settings-restored' ? event.record.queues.map(({ settings }) => settings.name) : undefined)[0], queues)
    assert.deepEqual(reports, reported ? [SETTINGS_KEY] : [])
  })
}

test('stored jobs: jobs are restored in the order of submission, with their progress and cancellations', () => {
  const early = { key: jobKey('z'), value: JSON.stringify({ ...buildJob('z', {}), submittedAtMs: -5 }) }
  const { events } = read([good, { key: cancelKey('a'), value: '' }, early], [{ key: progressKey('a'), value: PROGRESS }, { key: progressKey('ended'), value: PROGRESS.replace('running', 'completed') }])
  assert.deepEqual(events.map(describe), ['job-restored z', 'job-restored a', 'job-cancelled a', 'ended-job-restored ended'])
})

test('stored jobs: a job whose progress is unreadable is not run again, also when its definition is read once more, and is shown as running', () => {
  const harness = createHarnessWithTarget()
  for (const event of read([good], [{ key: progressKey('a'), value: 'null' }]).events) harness.apply(event)
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.advance(200_000)
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  assert.equal(harness.getStarts().length, 0)
  assert.equal(harness.scheduler.getPhase('a'), 'running')
})

test('stored jobs: whatever the store has, a new leader restores without an error', () => {
  const fields = fc.constantFrom('id', 'queue', 'organisation', 'payload', 'steps', 'count', 'demand', 'after', 'estimatedMs', 'phase', 'open', 'done', 'failedRuns', 'gangFailedRuns', 'crashes', 'confirmed', 'possible', 'nextOccurrence', 'firstAtMs', 'settings', 'version', 'maximum', '0')
  const { record } = fc.letrec((tie) => ({
    value: fc.oneof({ depthSize: 'small' }, fc.constantFrom(null, true, -1, 0, 1, 1e300, '', 'a', 'running', 'ff'), fc.array(tie('value'), { maxLength: 2 }), tie('record')),
    record: fc.dictionary(fields, tie('value'), { maxKeys: 8 })
  }))
  const damaged = fc.tuple(fc.constantFrom(good.value, GOOD_WITH_SETTINGS, PROGRESS, PROGRESS_WITH_CRASHES), fc.nat(800), fc.constantFrom('', '0', 'null', '}')).map(([text, at, replacement]) => text.slice(0, at) + replacement + text.slice(at + 1))
  const value = fc.oneof(record.map((content) => JSON.stringify(content)), damaged, fc.string())
  fc.assert(fc.property(value, value, (definition, progress) => {
    const scheduler = CellScheduler.create()
    const { events } = read([{ key: jobKey('a'), value: definition }], [{ key: progressKey('a'), value: progress }])
    for (const event of [...readStoredSettings([{ key: SETTINGS_KEY, value: progress }], () => {}), ...events]) scheduler.apply(event, 0)
    scheduler.apply({ type: 'configured', configuration: { ...CONFIGURATION, queues: [], organisations: [] } }, 0)
    scheduler.apply({ type: 'tick' }, 0)
    scheduler.startTasks(0)
  }), { seed: SEED, numRuns: RUNS })
})

test('stored jobs: each body that is accepted can be restored', () => {
  const number = fc.oneof(fc.integer(), fc.double(), fc.constant(undefined))
  const step = fc.record({ count: fc.integer({ min: 1, max: 50 }), cpu: number, memMb: number, gpu: number, estimatedMs: number, antiAffinity: number, targetMs: number, after: fc.constantFrom([], undefined) }, { requiredKeys: ['count'] })
  fc.assert(fc.property(fc.record({ spec: fc.string({ maxLength: 20 }), steps: fc.array(step, { minLength: 1, maxLength: 3 }), repeatCount: number, firstMs: number, intervalMs: number }, { requiredKeys: ['spec', 'steps'] }), (body) => {
    const parsed = parseJob(JSON.stringify(body), { id: 'a', queue: 'q', organisation: 'o' })
    if (parsed.isOk()) assert.ok(isJobDefinition(JSON.parse(JSON.stringify(parsed.value))))
  }), { seed: SEED, numRuns: RUNS })
})

test('stored jobs: a restored job starts', () => {
  const harness = CellHarness.create([buildEntry('t1')])
  for (const event of read([good]).events) harness.apply(event)
  assert.equal(harness.getStarts().length, 1)
})
