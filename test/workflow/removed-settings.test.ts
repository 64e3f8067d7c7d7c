import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { CellConfiguration, Organisation, Queue } from '../../src/workflow/settings/cell-configuration.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import type { JobDefinition, Step } from '../../src/workflow/job.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry, buildJob } from './harness.ts'

const ORGANISATION = CONFIGURATION.organisations[0]!
const SEED = 20261205
const RUNS = 400

/** What the store has of a job: `current`: its definition has the settings; `older`: it is of a release that did not store them. */
type StoredDefinition = 'current' | 'older'

/** Builds a job as a member stores it that accepts it under the configuration. */
function buildStoredJob (id: string, { version, queues, organisations }: CellConfiguration, stored: StoredDefinition, ...steps: ReadonlyArray<Partial<Step>>): JobDefinition {
  const definition = buildJob(id, ...steps)
  if (stored === 'older') return definition
  return { ...definition, settings: { version, queue: queues.find(({ name }) => name === definition.queue)!, organisation: organisations.find(({ name }) => name === definition.organisation) } }
}

function findStoredSettings (effects: readonly CellEffect[]): ReadonlyArray<Extract<CellEffect, { type: 'store-settings' }>> {
  return effects.filter((effect): effect is Extract<CellEffect, { type: 'store-settings' }> => effect.type === 'store-settings')
}

/** Creates a new leader that has read what the store has of the previous one, and has listed its targets. */
function createSuccessor (previous: CellHarness, definitions: readonly JobDefinition[], configuration: CellConfiguration, { settingsStored }: { readonly settingsStored: boolean }): CellHarness {
  const successor = CellHarness.create([], configuration, { firstRunNumber: 1_000_001 })
  successor.now = previous.now
  const record = findStoredSettings(previous.effects).at(-1)
  if (settingsStored && record !== undefined) successor.apply({ type: 'settings-restored', record: JSON.parse(JSON.stringify(record.record)) })
  for (const definition of definitions) successor.apply({ type: 'job-restored', definition: JSON.parse(JSON.stringify(definition)), progress: previous.scheduler.getProgress(definition.id) })
  return successor
}

function publishTargets (harness: CellHarness, running: (id: string) => Parameters<CellHarness['listTarget']>[1] = () => ({})): void {
  for (const id of ['t1', 't2']) {
    const entry = buildEntry(id)
    harness.apply({ type: 'target-published', entry })
    harness.apply({ type: 'targets-stored', ids: [id] })
    harness.listTarget(id, running(id))
  }
}

/** Ways in which a job goes on after a removal, by who leads and what the store has. */
const ways = [
  { way: 'under the same leader', takeover: false, settingsStored: false, stored: 'older' },
  { way: 'under a new leader', takeover: true, settingsStored: true, stored: 'current' },
  { way: 'under a new leader, accepted by an older release', takeover: true, settingsStored: true, stored: 'older' },
  { way: 'under a new leader, the previous one having ended before it stored anything', takeover: true, settingsStored: false, stored: 'current' }
] as const

const removals: ReadonlyArray<{ readonly removed: string, readonly remaining: Partial<CellConfiguration> }> = [
  { removed: 'nothing', remaining: {} },
  { removed: 'its queue', remaining: { queues: [] } },
  { removed: 'its organisation', remaining: { organisations: [] } },
  { removed: 'the key with which it was submitted', remaining: { organisations: [{ ...ORGANISATION, keys: [] }] } },
  { removed: 'its pool', remaining: { pools: [] } },
  { removed: 'all that it refers to', remaining: { queues: [], organisations: [], pools: [] } }
]

for (const { removed, remaining } of removals) {
  for (const { way, takeover, settingsStored, stored } of ways) {
    // Accepted jobs that were running when their queue was removed never went on after the next takeover.
    test(`cell: guards against the failure that a running job waits for good after ${removed} was removed, ${way}`, () => {
      const definition = buildStoredJob('a', CONFIGURATION, stored, { count: 2 }, { after: [0] })
      const first = CellHarness.create([], CONFIGURATION)
      publishTargets(first)
      first.apply({ type: 'job-accepted', definition })
      first.getStarts().forEach((start) => first.acceptStart(start))
      const configuration = { ...CONFIGURATION, ...remaining, version: 2 }
      first.apply({ type: 'configured', configuration })
      const harness = takeover ? createSuccessor(first, [definition], configuration, { settingsStored }) : first
      if (takeover) publishTargets(harness, (id) => ({ running: first.runningOn(id) }))
      first.getStarts().forEach((start) => harness.completeRun(start, 'done'))
      assert.equal(harness.getStarts().filter(({ command }) => command.task.startsWith('a.0.1.')).length, 1)
    })
  }
}

/** A setting that decides about a job, and what shows that it holds. `previous` is a value that was in force before. */
type SettingCase = {
  readonly setting: string
  readonly queue?: Partial<Queue>
  readonly previousQueue?: Partial<Queue>
  readonly organisation?: Partial<Organisation>
  readonly previousOrganisation?: Partial<Organisation>
  readonly steps: ReadonlyArray<Partial<Step>>
  readonly check: (harness: CellHarness) => void
}

const ADVICE = { decisionMs: 5, perTargetMs: 1, validityMs: 2_000 }
const UNLIMITED = ORGANISATION.maximum

function failOnce (harness: CellHarness): void {
  const start = harness.getStarts().at(-1)!
  harness.acceptStart(start)
  harness.completeRun(start, 'failed')
  harness.advance(10_000)
  for (const id of ['t1', 't2']) harness.listTarget(id, { running: harness.runningOn(id) })
}

const settingCases: readonly SettingCase[] = [
  {
    setting: 'the number of attempts',
    queue: { maxAttempts: 3 },
    previousQueue: { maxAttempts: 1 },
    steps: [{}],
    check: (harness) => {
      failOnce(harness)
      failOnce(harness)
      assert.equal(harness.scheduler.getProgress('a')!.phase, 'running')
      failOnce(harness)
      assert.equal(harness.scheduler.getProgress('a')!.phase, 'failed')
    }
  },
  {
    setting: 'the pool',
    queue: { pool: 'kit' },
    previousQueue: { pool: 'other' },
    steps: [{}],
    check: (harness) => assert.equal(harness.getStarts().length, 1)
  },
  {
    setting: 'a pool without targets',
    queue: { pool: 'other' },
    previousQueue: { pool: 'kit' },
    steps: [{}],
    check: (harness) => assert.equal(harness.getStarts().length, 0)
  },
  {
    setting: 'the priority',
    queue: { priority: 2 },
    previousQueue: { priority: 0 },
    steps: [{ count: 8 }],
    check: (harness) => assert.equal(harness.getStarts().length, 6, 'a part of each target is kept for urgent tasks')
  },
  {
    setting: 'the need for advice',
    queue: { advice: ADVICE },
    previousQueue: { advice: undefined },
    steps: [{}],
    check: (harness) => {
      assert.equal(harness.getStarts().length, 0)
      assert.equal(harness.effects.filter(({ type }) => type === 'request-advice').length, 1)
    }
  },
  {
    setting: 'the maximum of the organisation',
    organisation: { maximum: { ...UNLIMITED, cpuMillis: 3_000 } },
    previousOrganisation: { maximum: { ...UNLIMITED, cpuMillis: 8_000 } },
    steps: [{ count: 6 }],
    check: (harness) => assert.equal(harness.getStarts().length, 3)
  }
]

/** Creates a configuration with one queue and one organisation that differ from the usual ones. */
function configure (version: number, queue: Partial<Queue> = {}, organisation: Partial<Organisation> = {}): CellConfiguration {
  return { ...CONFIGURATION, version, queues: [{ ...QUEUE, ...queue }], organisations: [{ ...ORGANISATION, ...organisation }] }
}

const NOTHING: CellConfiguration = { ...CONFIGURATION, version: 9, queues: [], organisations: [] }

for (const { setting, queue, previousQueue, organisation, previousOrganisation, steps, check } of settingCases) {
  for (const { way, takeover, settingsStored, stored } of ways) {
    // A new leader tried the tasks of a removed queue twice whatever the queue said, and an organisation that was removed had no maximum.
    test(`cell: guards against the failure that ${setting} does not hold after a removal, ${way}`, () => {
      const accepted = configure(1, queue, organisation)
      const definition = buildStoredJob('a', accepted, stored, ...steps)
      const first = CellHarness.create([], accepted)
      first.apply({ type: 'job-accepted', definition })
      first.apply({ type: 'configured', configuration: NOTHING })
      const harness = takeover ? createSuccessor(first, [definition], NOTHING, { settingsStored }) : first
      publishTargets(harness)
      check(harness)
    })
  }

  for (const stored of ['current', 'older'] as const) {
    // A member stores the settings with a job when it accepts it; those of a later version hold, and are the last ones when the queue is removed.
    test(`cell: guards against the failure that an earlier value of ${setting} holds after a removal, under a new leader with a job of the ${stored} release`, () => {
      const accepted = configure(1, previousQueue, previousOrganisation)
      const definition = buildStoredJob('a', accepted, stored, ...steps)
      const first = CellHarness.create([], accepted)
      first.apply({ type: 'job-accepted', definition })
      first.apply({ type: 'configured', configuration: configure(2, queue, organisation) })
      first.apply({ type: 'configured', configuration: NOTHING })
      const second = createSuccessor(first, [definition], NOTHING, { settingsStored: true })
      const third = createSuccessor(first, [definition], NOTHING, { settingsStored: true })
      assert.deepEqual(findStoredSettings(second.effects), [], 'what is stored is not stored again')
      publishTargets(third)
      check(third)
    })

    // What a job was accepted with must not replace the configuration that is in force.
    test(`cell: guards against the failure that an earlier value of ${setting} holds while the queue is present, under a new leader with a job of the ${stored} release`, () => {
      const definition = buildStoredJob('a', configure(1, previousQueue, previousOrganisation), stored, ...steps)
      const harness = CellHarness.create([], configure(2, queue, organisation))
      harness.apply({ type: 'job-restored', definition, progress: undefined })
      publishTargets(harness)
      check(harness)
    })

    // A queue that is removed and comes back may have other settings, also for the jobs that were accepted before.
    test(`cell: guards against the failure that an earlier value of ${setting} holds once the queue is back, under a new leader with a job of the ${stored} release`, () => {
      const accepted = configure(1, previousQueue, previousOrganisation)
      const definition = buildStoredJob('a', accepted, stored, ...steps)
      const first = CellHarness.create([], accepted)
      first.apply({ type: 'job-accepted', definition })
      first.apply({ type: 'configured', configuration: NOTHING })
      const harness = createSuccessor(first, [definition], NOTHING, { settingsStored: true })
      harness.apply({ type: 'configured', configuration: configure(10, queue, organisation) })
      publishTargets(harness)
      check(harness)
    })
  }
}

// The configuration may have lowered a maximum since the settings were stored.
test('cell: guards against the failure that a job starts under the settings of an older version before a new leader has read the configuration', () => {
  const definition = buildStoredJob('a', CONFIGURATION, 'current', {})
  const first = CellHarness.create([], CONFIGURATION)
  first.apply({ type: 'job-accepted', definition })
  first.apply({ type: 'configured', configuration: NOTHING })
  const harness = CellHarness.create([], CONFIGURATION)
  const unconfigured = CellHarness.createUnconfigured()
  unconfigured.apply({ type: 'settings-restored', record: findStoredSettings(first.effects).at(-1)!.record })
  for (const successor of [harness, unconfigured]) {
    successor.apply({ type: 'job-restored', definition, progress: undefined })
    publishTargets(successor)
  }
  assert.deepEqual([harness, unconfigured].map((successor) => successor.getStarts().length), [1, 0])
  unconfigured.apply({ type: 'configured', configuration: NOTHING })
  assert.equal(unconfigured.getStarts().length, 1)
})

test('cell: a job of which nobody knows the queue waits, says so in the log, and starts when the queue is back', () => {
  const harness = CellHarness.create([], NOTHING)
  publishTargets(harness)
  harness.apply({ type: 'job-restored', definition: buildJob('a', {}), progress: undefined })
  harness.advance(50)
  const reasons = harness.effects.flatMap((effect) => effect.type === 'log' && effect.message === 'step-waiting' ? [effect.fields.reason] : [])
  assert.deepEqual(reasons, ['unknown-queue'])
  assert.equal(harness.getStarts().length, 0)
  harness.apply({ type: 'configured', configuration: configure(10) })
  assert.equal(harness.getStarts().length, 1)
})

test('cell: the settings of removed queues are stored once for all their jobs, and not for those without jobs', () => {
  const accepted: CellConfiguration = { ...CONFIGURATION, queues: [QUEUE, { ...QUEUE, name: 'idle' }] }
  const harness = CellHarness.create([], accepted)
  for (let number = 0; number < 50; number += 1) harness.apply({ type: 'job-accepted', definition: buildStoredJob(`j${number}`, accepted, 'current', {}) })
  assert.deepEqual(findStoredSettings(harness.effects), [])
  harness.apply({ type: 'configured', configuration: { ...NOTHING, organisations: accepted.organisations } })
  harness.apply({ type: 'job-accepted', definition: buildStoredJob('late', accepted, 'current', {}) })
  harness.apply({ type: 'configured', configuration: { ...NOTHING, version: 12, organisations: accepted.organisations } })
  const records = findStoredSettings(harness.effects).map(({ record }) => [record.queues.map(({ settings }) => settings.name), record.organisations.length])
  assert.deepEqual(records, [[['stock'], 0]])
})

test('cell: no key of an organisation and no address of a queue is stored with the settings', () => {
  const harness = CellHarness.create([], CONFIGURATION)
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.apply({ type: 'configured', configuration: NOTHING })
  const text = JSON.stringify(findStoredSettings(harness.effects))
  assert.match(text, /maxAttempts.*cpuMillis/)
  assert.doesNotMatch(text, /"keys"|"k1"|a\.example/)
})

test('cell: the record of removed settings stays below the limit of a stored value', () => {
  const names = Array.from({ length: 5_000 }, (_, number) => `queue-with-a-long-name-${number}`)
  const accepted: CellConfiguration = { ...CONFIGURATION, queues: names.map((name) => ({ ...QUEUE, name, advice: ADVICE })) }
  const { scheduler } = CellHarness.create([], accepted)
  for (const name of names) scheduler.apply({ type: 'job-accepted', definition: { ...buildJob(name, {}), queue: name } }, 0)
  const records = findStoredSettings(scheduler.apply({ type: 'configured', configuration: NOTHING }, 0))
  assert.equal(records.length, 1)
  assert.ok(JSON.stringify(records[0]!.record).length < 1_000_000)
  assert.deepEqual(findStoredSettings(scheduler.apply({ type: 'job-accepted', definition: { ...buildJob('more', {}), queue: names[0]! } }, 0)), [])
})

/** One event of a random history of a cell. */
type HistoryEvent =
  | { readonly type: 'configure', readonly present: readonly number[], readonly pool: string }
  | { readonly type: 'accept', readonly queue: number, readonly stored: StoredDefinition }
  | { readonly type: 'take-over' }

const NAMES = ['q0', 'q1', 'q2']

const historyEvent: fc.Arbitrary<HistoryEvent> = fc.oneof(
  fc.record({ type: fc.constant('configure' as const), present: fc.uniqueArray(fc.nat(NAMES.length - 1)), pool: fc.constantFrom('p0', 'p1', 'p2') }),
  fc.record({ type: fc.constant('accept' as const), queue: fc.nat(NAMES.length - 1), stored: fc.constantFrom('current' as const, 'older' as const) }),
  fc.record({ type: fc.constant('take-over' as const) })
)

// Each leader has to know the last settings of the queue of each active job, however often queues change, go and come back between takeovers.
test('cell: guards against the failure that a job goes to another pool than the last one of its queue, after any history of versions and takeovers', () => {
  fc.assert(fc.property(fc.array(historyEvent, { maxLength: 30 }), (events) => {
    const lastPool = new Map<string, string>()
    const definitions: JobDefinition[] = []
    let configuration: CellConfiguration = { ...CONFIGURATION, version: 1, queues: [] }
    let harness = CellHarness.create([], configuration)
    for (const event of events) {
      switch (event.type) {
        case 'configure':
          configuration = { ...configuration, version: configuration.version + 3, queues: event.present.map((number) => ({ ...QUEUE, name: NAMES[number]!, pool: event.pool })) }
          for (const { name, pool } of configuration.queues) lastPool.set(name, pool)
          harness.apply({ type: 'configured', configuration })
          break
        case 'accept': {
          const name = NAMES[event.queue]!
          if (!configuration.queues.some((queue) => queue.name === name)) break
          const definition = { ...buildJob(`j${definitions.length}`, {}), queue: name }
          const settings = { version: configuration.version, queue: configuration.queues.find((queue) => queue.name === name)!, organisation: ORGANISATION }
          definitions.push(event.stored === 'older' ? definition : { ...definition, settings })
          harness.apply({ type: 'job-accepted', definition: definitions.at(-1)! })
          break
        }
        case 'take-over':
          harness = createSuccessor(harness, definitions, configuration, { settingsStored: true })
      }
    }
    const pools = ['p0', 'p1', 'p2']
    for (const pool of pools) harness.publishTarget(buildEntry(`target-of-${pool}`, { pool, capacity: { cpuMillis: 100_000, memoryMiB: 100_000, accelerators: 0 } }))
    for (const { id, queue } of definitions) {
      const start = harness.getStarts().find(({ command }) => command.task.startsWith(`${id}.`))
      assert.equal(start?.target, `target-of-${lastPool.get(queue)}`, `${id} of ${queue}`)
    }
  }), { seed: SEED, numRuns: RUNS })
})
