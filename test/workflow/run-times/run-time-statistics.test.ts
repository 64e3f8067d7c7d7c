import assert from 'node:assert/strict'
import { test } from 'node:test'
import { estimateRunMs } from '../../../src/workflow/run-times/run-time-model.ts'
import { RunTimeStatistics } from '../../../src/workflow/run-times/run-time-statistics.ts'
import { formatRunTimes, parseRunTimes } from '../../../src/workflow/run-times/run-times-record.ts'

type Runs = { readonly count: number, readonly declared: (index: number) => number, readonly real: (declaredMs: number, index: number) => number }

function learn (phases: readonly Runs[]): RunTimeStatistics {
  const statistics = RunTimeStatistics.create()
  for (const { count, declared, real } of phases) {
    for (let index = 0; index < count; index++) statistics.record(declared(index), real(declared(index), index), estimateRunMs(statistics.computeModel(), declared(index)))
  }
  return statistics
}

const SPREAD = (index: number): number => 500 + 250 * (index % 5)

const estimates: ReadonlyArray<{ readonly guards: string, readonly phases: readonly Runs[], readonly declaredMs: number, readonly expectedMs: number, readonly toleranceMs?: number }> = [
  { guards: 'a few runs replace what was declared', phases: [{ count: 29, declared: () => 1_000, real: () => 3_000 }], declaredMs: 1_000, expectedMs: 1_000 },
  { guards: 'declarations that are too short by the same ratio are trusted', phases: [{ count: 30, declared: SPREAD, real: (declaredMs) => 1.4 * declaredMs }], declaredMs: 750, expectedMs: 1_050 },
  { guards: 'declarations that say nothing are trusted', phases: [{ count: 200, declared: SPREAD, real: (_, index) => 700 + 50 * (Math.floor(index / 5) % 2) }], declaredMs: 1_500, expectedMs: 725, toleranceMs: 10 },
  { guards: 'declarations that are the wrong way round turn the order', phases: [{ count: 200, declared: SPREAD, real: (declaredMs) => 2_000 - declaredMs }], declaredMs: 500, expectedMs: 1_000, toleranceMs: 30 },
  { guards: 'a steep regression goes below zero', phases: [{ count: 100, declared: SPREAD, real: (declaredMs) => 1.5 * (declaredMs - 490) }], declaredMs: 100, expectedMs: 76, toleranceMs: 3 },
  { guards: 'equal declarations give no estimate', phases: [{ count: 50, declared: () => 680, real: () => 340 }], declaredMs: 680, expectedMs: 340 },
  { guards: 'a change is followed only after many hundreds of runs', phases: [{ count: 3_000, declared: SPREAD, real: (declaredMs) => declaredMs }, { count: 300, declared: SPREAD, real: (declaredMs) => 3 * declaredMs }], declaredMs: 1_000, expectedMs: 3_000, toleranceMs: 200 },
  { guards: 'a task that is far longer than all known ones is taken for one of them', phases: [{ count: 100, declared: SPREAD, real: () => 700 }], declaredMs: 600_000, expectedMs: 600_000 },
  { guards: 'a single very long run moves the estimate', phases: [{ count: 100, declared: () => 1_000, real: () => 1_000 }, { count: 1, declared: () => 1_000, real: () => 900_000 }], declaredMs: 1_000, expectedMs: 1_047, toleranceMs: 1 }
]

for (const { guards, phases, declaredMs, expectedMs, toleranceMs = 1 } of estimates) {
  test(`run times: guards against the failure that ${guards}`, () => {
    const estimateMs = estimateRunMs(learn(phases).computeModel(), declaredMs)
    assert.ok(Math.abs(estimateMs - expectedMs) <= toleranceMs, `estimated ${estimateMs}`)
  })
}

const GOOD = { runs: 40, weight: 30, x: 30, y: 60, xx: 40, xy: 70, yy: 150 }

const records: ReadonlyArray<{ readonly name: string, readonly text: string, readonly expected: readonly string[] | undefined }> = [
  { name: 'no JSON', text: '{"version":1,"queu', expected: undefined },
  { name: 'null', text: 'null', expected: undefined },
  { name: 'a list', text: '[1]', expected: undefined },
  { name: 'a later version', text: JSON.stringify({ version: 2, queues: { a: GOOD } }), expected: undefined },
  { name: 'without queues', text: '{"version":1}', expected: undefined },
  { name: 'a sum that is missing', text: JSON.stringify({ version: 1, queues: { a: { ...GOOD, yy: undefined }, b: GOOD } }), expected: ['b'] },
  { name: 'a negative sum', text: JSON.stringify({ version: 1, queues: { a: { ...GOOD, y: -1 }, b: GOOD } }), expected: ['b'] },
  { name: 'a variance below zero', text: JSON.stringify({ version: 1, queues: { a: { ...GOOD, yy: 1 } } }), expected: [] },
  { name: 'more weight than runs', text: JSON.stringify({ version: 1, queues: { a: { ...GOOD, weight: 50 } } }), expected: [] },
  { name: 'what was formatted', text: formatRunTimes(new Map([['a', learn(estimates[1]!.phases).sums]])), expected: ['a'] }
]

for (const { name, text, expected } of records) {
  test(`run times: guards against the failure that a damaged record is used, or a good one is not: ${name}`, () => {
    const queues = parseRunTimes(text)
    assert.deepEqual(queues === undefined ? undefined : [...queues.keys()], expected)
  })
}
