import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import type { CellState } from '../../../src/workflow/cell-state.ts'
import { PAST_USE_FIELD, compareRanks, computeRank } from '../../../src/workflow/order/step-rank.ts'
import { Random } from '../../../src/util/random.ts'
import { CellHarness, buildEntry, buildJob } from '../harness.ts'
import { assertProperty } from '../../properties/assert-property.ts'
import { FullCell, buildOptions, configureOrganisations } from './full-cell.ts'
import type { Submitter } from './full-cell.ts'

const DAY_MS = 86_400_000
const NOON_MS = 20_000 * DAY_MS
const HALF_LIFE_S = 60
const ORGANISATIONS = [{ name: 'zuu', weight: 1 }, { name: 'abay', weight: 1 }, { name: 'new', weight: 1 }]

/** A cell of one target with room for four tasks. */
function createCell (halfLifeS = HALF_LIFE_S, wallClockOffsetMs = NOON_MS): CellHarness {
  const cell = CellHarness.create([buildEntry('t1')], configureOrganisations(ORGANISATIONS), buildOptions(halfLifeS, wallClockOffsetMs))
  cell.advance(50)
  return cell
}

function submit (cell: CellHarness, organisation: string, id: string, count = 1): void {
  cell.apply({ type: 'job-accepted', definition: { ...buildJob(id, { count }), organisation } })
}

/** Lets an organisation run a job of some tasks for a time. */
function use (cell: CellHarness, organisation: string, id: string, { count, durationMs }: { readonly count: number, readonly durationMs: number }): void {
  submit(cell, organisation, id, count)
  const starts = cell.getStarts().filter(({ command }) => command.task.startsWith(id))
  for (const start of starts) cell.acceptStart(start)
  for (const end = cell.now + durationMs; cell.now < end;) {
    cell.advance(500)
    cell.listTarget('t1', { running: cell.runningOn('t1').map((run) => ({ ...run, percent: (cell.now % 10_000) / 100 })) })
  }
  for (const start of starts) cell.completeRun(start, 'done')
}

/** Submits a job of each organisation while the cell is full, makes room for one after another, and returns the order of starts. */
function findOrder (cell: CellHarness, organisations: readonly string[]): string {
  submit(cell, 'filler', 'filler', 4)
  const fillers = cell.getStarts().filter(({ command }) => command.task.startsWith('filler'))
  for (const organisation of organisations) {
    cell.now += 1
    submit(cell, organisation, `${organisation}last`)
  }
  for (const filler of fillers) {
    cell.acceptStart(filler)
    cell.completeRun(filler, 'done')
  }
  const started = cell.getStarts().map(({ command }) => command.task.split('.')[0]!)
  return started.filter((job) => job.endsWith('last')).map((job) => job.replace('last', '')).join(' ')
}

/** Runs a cell in which zuu uses three times as much as abay, and returns its last record, with the time of day of its end. */
function runBefore (): { readonly record: string, readonly endedAtMs: number } {
  const cell = createCell()
  use(cell, 'abay', 'early', { count: 1, durationMs: 20_000 })
  use(cell, 'zuu', 'large', { count: 3, durationMs: 20_000 })
  cell.advance(10_000)
  const stores = cell.effects.filter((effect) => effect.type === 'store-learned')
  assert.ok(stores.length >= 3 && stores.length <= 5, 'the record is stored at most once every 10 s')
  return { record: stores.at(-1)!.value, endedAtMs: cell.now + NOON_MS }
}

const before = runBefore()

/** The record as it would have been written at another time, which is `shiftMs` later. */
function redate (shiftMs: number): string {
  const record = JSON.parse(before.record) as { readonly writtenAtMs: number }
  return JSON.stringify({ ...record, writtenAtMs: record.writtenAtMs + shiftMs })
}

/** Jobs are submitted in the order zuu, abay, new; without past use they start in that order. */
const takeovers: ReadonlyArray<{ readonly guards: string, readonly record: string | undefined, readonly expected: string, readonly halfLifeS?: number, readonly sinceMs?: number }> = [
  { guards: 'a takeover forgets what was used', record: before.record, expected: 'new abay zuu' },
  { guards: 'an account is lost at a takeover and the order is not that without past use', record: undefined, expected: 'zuu abay new' },
  { guards: 'a damaged record ends the takeover', record: before.record.slice(0, 40), expected: 'zuu abay new' },
  { guards: 'a record from the future is dropped or grows', record: redate(DAY_MS), expected: 'new abay zuu' },
  { guards: 'a record that is half as old as it should be changes the order of past use', record: redate(HALF_LIFE_S * 500), sinceMs: HALF_LIFE_S * 1_000, expected: 'new abay zuu' },
  { guards: 'accounts change places while a member of another release leads and writes nothing', record: before.record, sinceMs: 10 * HALF_LIFE_S * 1_000, expected: 'new abay zuu' },
  { guards: 'a clock that was set forward by a year makes the order undefined', record: before.record, sinceMs: 365 * DAY_MS, expected: 'zuu abay new' },
  { guards: 'a record of another half-life is not used', record: before.record, halfLifeS: 3_600, expected: 'new abay zuu' },
  { guards: 'a stored record has an effect although past use is off', record: before.record, halfLifeS: 0, expected: 'zuu abay new' }
]

for (const { guards, record, expected, halfLifeS, sinceMs = 2_000 } of takeovers) {
  test(`past use at a takeover: guards against the failure that ${guards}`, () => {
    const cell = createCell(halfLifeS, before.endedAtMs + sinceMs - 1_000)
    if (record !== undefined) cell.apply({ type: 'learned-restored', record: 'past-use', value: record })
    assert.equal(findOrder(cell, ['zuu', 'abay', 'new']), expected)
  })
}

test('past use at a takeover: guards against the failure that a new leader overwrites the record before it has read it', () => {
  const cell = createCell()
  cell.scheduler.expectEarlierRuns()
  submit(cell, 'zuu', 'large', 3)
  for (let seconds = 0; seconds < 15; seconds += 1) cell.advance(1_000)
  assert.equal(cell.effects.filter(({ type }) => type === 'store-learned').length, 0)
})

test('past use: guards against the failure that a removed organisation comes back without its account', () => {
  const cell = createCell()
  use(cell, 'zuu', 'large', { count: 3, durationMs: 20_000 })
  cell.apply({ type: 'configured', configuration: { ...configureOrganisations(ORGANISATIONS.slice(1)), version: 2 } })
  cell.advance(1_000)
  cell.apply({ type: 'configured', configuration: { ...configureOrganisations(ORGANISATIONS), version: 3 } })
  assert.equal(findOrder(cell, ['zuu', 'abay']), 'abay zuu')
})

test('past use: guards against the failure that an organisation that has used much waits in an empty cell', () => {
  const cell = createCell()
  use(cell, 'zuu', 'large', { count: 4, durationMs: 60_000 })
  submit(cell, 'zuu', 'next', 4)
  assert.equal(cell.countStartedTasks('next'), 4)
})

test('past use: guards against the failure that operators do not see that it has decided an order', () => {
  const decided = [0, HALF_LIFE_S].map((halfLifeS) => {
    const cell = createCell(halfLifeS)
    use(cell, 'zuu', 'large', { count: 3, durationMs: 61_000 })
    findOrder(cell, ['zuu', 'abay'])
    const lines = cell.effects.filter((effect) => effect.type === 'log').filter(({ message }) => message.startsWith('past-use'))
    return [lines.map(({ message, fields }) => `${message} ${String(fields.organisation ?? fields.organisations)}`), cell.effects.some((effect) => effect.type === 'count' && effect.counter === 'past-use-order' && effect.reason === 'changed')]
  })
  assert.deepEqual(decided, [[[], false], [['past-use 1', 'past-use-decided abay'], true]])
})

/** Ranks of all waiting steps. */
function sortSteps (cell: CellHarness, withoutPastUse: boolean): readonly string[] {
  const { state } = cell.scheduler as unknown as { readonly state: CellState }
  const ranks = [...state.openSteps].map((step) => ({ key: step.key, rank: computeRank(state, step) }))
  const seen = ranks.map(({ key, rank }) => ({ key, rank: withoutPastUse ? rank.with(PAST_USE_FIELD, 0) as unknown as typeof rank : rank }))
  return seen.sort((left, right) => compareRanks(left.rank, right.rank)).map(({ key }) => key)
}

const demands = fc.record({ cpuMillis: fc.integer({ min: 0, max: 3_000 }), memoryMiB: fc.integer({ min: 0, max: 400 }), accelerators: fc.constant(0) })

test('past use: guards against the failure that the order changes where past use is equal', () => {
  assertProperty(fc.property(fc.array(fc.record({ organisation: fc.nat({ max: 5 }), demand: demands, count: fc.integer({ min: 1, max: 4 }) }), { minLength: 4, maxLength: 20 }), fc.array(fc.double({ min: 0.1, max: 50, noNaN: true }), { minLength: 6, maxLength: 6 }), fc.double({ min: 0, max: 1, noNaN: true }), (jobs, weights, past) => {
    const names = weights.map((weight, index) => ({ name: `o${index}`, weight }))
    const cell = CellHarness.create([buildEntry('t1')], configureOrganisations(names), buildOptions(HALF_LIFE_S, NOON_MS))
    cell.advance(50)
    cell.apply({ type: 'learned-restored', record: 'past-use', value: JSON.stringify({ writtenAtMs: NOON_MS, accounts: names.map(({ name }) => [name, past]) }) })
    for (const [index, { organisation, demand, count }] of jobs.entries()) cell.apply({ type: 'job-accepted', definition: { ...buildJob(`j${index}`, { demand, count }), organisation: `o${organisation}` } })
    assert.deepEqual(sortSteps(cell, false), sortSteps(cell, true))
  }), { numRuns: 300 })
})

/** Tasks of equal processors: where smaller ones fit a gap and larger ones don't, room decides and not the order. */
const submitters = fc.array(fc.record({ weight: fc.integer({ min: 1, max: 4 }), memoryMiB: fc.constantFrom(50, 500, 1_500), longestRunMs: fc.integer({ min: 300, max: 2_500 }) }), { minLength: 2, maxLength: 4 })
const MAX_DEVIATION = 0.05

type FullCellCase = { readonly name: string, readonly entries: ReadonlyArray<{ readonly weight: number, readonly memoryMiB: number, readonly longestRunMs: number }>, readonly halfLifeS: number, readonly seed: number }

/** The first two were off by more where organisations had 8 waiting tasks, which may all start at once; then nothing waits that could be ordered. */
const FULL_CELLS: readonly FullCellCase[] = [
  { name: 'long runs of a small weight', entries: [{ weight: 1, memoryMiB: 500, longestRunMs: 2_491 }, { weight: 3, memoryMiB: 1_500, longestRunMs: 310 }], halfLifeS: 60, seed: -282_704_996 },
  { name: 'short runs of a large weight', entries: [{ weight: 4, memoryMiB: 500, longestRunMs: 308 }, { weight: 1, memoryMiB: 50, longestRunMs: 2_495 }], halfLifeS: 3_600, seed: 1_251_270_340 },
  { name: 'jobs nearly as large as a share', entries: [{ weight: 2, memoryMiB: 500, longestRunMs: 310 }, { weight: 4, memoryMiB: 1_500, longestRunMs: 304 }, { weight: 1, memoryMiB: 1_500, longestRunMs: 1_919 }, { weight: 3, memoryMiB: 50, longestRunMs: 308 }], halfLifeS: 3_600, seed: 19 }
]

/** Runs a full cell and checks what its organisations use of it. */
function checkParts ({ entries, halfLifeS, seed }: Omit<FullCellCase, 'name'>): void {
  // The share of submissions, in jobs a second, is that of a weight too; here it must not limit anyone.
  const organisations: readonly Submitter[] = entries.map(({ weight, memoryMiB, longestRunMs }, index) => ({ name: `o${index}`, weight: weight * 100, demand: { cpuMillis: 1_000, memoryMiB, accelerators: 0 }, longestRunMs }))
  const cell = FullCell.create(organisations, { cpuMillis: 40_000, memoryMiB: 60_000, accelerators: 0 }, Random.create(seed), halfLifeS)
  cell.run(30_000)
  cell.use.clear()
  cell.run(120_000)
  const use = organisations.map(({ name, weight }) => cell.use.get(name)! / weight)
  const mean = use.reduce((sum, value) => sum + value, 0) / use.length
  assert.equal(cell.idlePasses, 0, 'an organisation had no task that waited')
  for (const value of use) assert.ok(Math.abs(value / mean - 1) <= MAX_DEVIATION, `${use.map((used) => (used / mean).toFixed(3)).join(' ')}`)
}

for (const { name, ...cell } of FULL_CELLS) {
  test(`past use: guards against the failure that organisations that always wait get other parts of a full cell than their weights, ${name}`, () => checkParts(cell))
}

test('past use: guards against the failure that organisations that always wait get other parts of a full cell than their weights', () => {
  assertProperty(fc.property(submitters, fc.constantFrom(10, 60, 3_600), fc.integer(), (entries, halfLifeS, seed) => checkParts({ entries, halfLifeS, seed })), { numRuns: 6, endOnFailure: true })
})
