import fc from 'fast-check'
import { FAULT_NAMES } from './fault-catalogue.ts'
import type { Injection } from './injector.ts'
import { isRed, runInjections, type CellResult } from './run-cell.ts'
import { PHASES } from './scenario.ts'
import { STEPS } from './steps.ts'

/** A random run: the seed of its delays and load, and its faults. */
export type Schedule = { readonly seed: number, readonly injections: readonly Injection[] }

export type RandomOutcome =
  | { readonly type: 'passed', readonly schedules: number, readonly faults: number }
  | { readonly type: 'failed', readonly schedule: Schedule, readonly result: CellResult, readonly shrinks: number, readonly replay: string }

const MAX_FAULTS_PER_SCHEDULE = 7
/** Mean number of faults in a schedule; the number of schedules is the number of faults divided by it. */
const MEAN_FAULTS_PER_SCHEDULE = 4
const MAX_OCCURRENCE = 12
/** Maximum number of runs after the first failure; without a limit, shrinking one failure took over six minutes. */
const MAX_SHRINK_RUNS = 60

const injection: fc.Arbitrary<Injection> = fc.record({
  step: fc.constantFrom(...STEPS.map((step) => step.name)),
  fault: fc.constantFrom(...FAULT_NAMES),
  occurrence: fc.integer({ min: 1, max: MAX_OCCURRENCE }),
  notBefore: fc.integer({ min: PHASES.faultsFrom, max: PHASES.loadUntil })
})

const schedule: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  injections: fc.array(injection, { minLength: 1, maxLength: MAX_FAULTS_PER_SCHEDULE })
})

/**
 * Runs random schedules with about `faults` faults in total, and shrinks the first schedule that fails.
 *
 * @example
 * runRandom(400, 7, () => {}).type // 'passed'
 */
export function runRandomSchedules (faults: number, seed: number, finished: (schedule: Schedule) => void): RandomOutcome {
  let injected = 0
  let runsAfterFailure: number | undefined
  const numRuns = Math.ceil(faults / MEAN_FAULTS_PER_SCHEDULE)
  const property = fc.property(schedule, (candidate) => {
    if (runsAfterFailure !== undefined && ++runsAfterFailure > MAX_SHRINK_RUNS) return true
    injected += candidate.injections.length
    const passes = !isRed(runInjections(candidate.seed, candidate.injections))
    if (!passes) runsAfterFailure ??= 0
    finished(candidate)
    return passes
  })
  const details = fc.check(property, { seed, numRuns })
  if (!details.failed) return { type: 'passed', schedules: numRuns, faults: injected }
  const [failing] = details.counterexample!
  return {
    type: 'failed',
    schedule: failing,
    result: runInjections(failing.seed, failing.injections),
    shrinks: details.numShrinks,
    replay: details.counterexamplePath ?? ''
  }
}
