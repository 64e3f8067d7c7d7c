import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CELLS } from '../../faults/cells.ts'
import { computeFingerprint, MATRIX_SEED, getCellState } from '../../faults/matrix.ts'
import { describeViolation, runInjections } from '../../faults/run-cell.ts'
import { VARIANTS, createVariantInjections, type Variant } from '../../faults/variants.ts'

/** One cell for each kind of fault; `npm run faults` runs the whole matrix. */
const FIXED_CELLS = [
  'peer:submit lost alone',
  'peer:answer doubled alone',
  'peer:heartbeat sender-dies alone',
  'peer:heartbeat-answer sender-pauses alone',
  'peer:stopped-asked members-partitioned alone',
  'store:transact answer-lost alone',
  'store:renew-lease store-down alone',
  'target:start answer-lost alone',
  'target:sync target-dies alone',
  'target:sync domain-out alone'
]

for (const name of FIXED_CELLS) {
  test(`matrix: all guarantees hold under ${name}`, () => {
    const cell = CELLS.find((candidate) => candidate.name === name)
    assert.ok(cell !== undefined, 'the cell exists')
    const result = runInjections(MATRIX_SEED, cell.injections)
    assert.deepEqual(result.violations.map(describeViolation), [])
    assert.equal(getCellState(result), 'green')
  })
}

test('matrix: a run without successful requests is red, so that a simulation in which nothing works does not pass', () => {
  const result = runInjections(MATRIX_SEED, [])
  assert.equal(getCellState({ ...result, succeeded: 0 }), 'red')
})

test('matrix: two runs with the same seed have the same history, and a run with another seed has a different one', () => {
  const injections = CELLS.find((cell) => cell.name === 'peer:submit sender-dies alone')!.injections
  const first = computeFingerprint(runInjections(MATRIX_SEED, injections))
  assert.equal(computeFingerprint(runInjections(MATRIX_SEED, injections)), first)
  assert.notEqual(computeFingerprint(runInjections(MATRIX_SEED + 1, injections)), first)
})

const FIRST_SEED = 7

for (const variant of VARIANTS) {
  test(`matrix: catches a system in which ${variant.name} (guarantee ${variant.brokenGuarantee})`, () => {
    const injections = createVariantInjections(variant)
    const seeds = Array.from({ length: variant.seedCount ?? 1 }, (_, index) => FIRST_SEED + index)
    const violatesGuarantee = (seed: number, broken?: Variant): boolean => runInjections(seed, injections, broken).violations.some((violation) => violation.guarantee === variant.brokenGuarantee)
    const caughtBy = seeds.find((seed) => violatesGuarantee(seed, variant))
    assert.ok(caughtBy !== undefined, 'a run of the broken system violates the guarantee')
    assert.ok(!violatesGuarantee(caughtBy, undefined), 'the same run of the real system does not violate the guarantee')
  })
}
