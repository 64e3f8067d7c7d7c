import { checkHistory } from './checker.ts'
import { filterByType, type History } from './history.ts'
import type { Injection } from './injector.ts'
import { createCoreProcess } from './core-process.ts'
import type { Variant } from './variants.ts'
import type { Violation } from './violation.ts'
import { World } from './world.ts'

export type CellResult = {
  readonly seed: number
  readonly injections: readonly Injection[]
  /** Whether every injection was triggered. */
  readonly reached: boolean
  /** Number of requests that succeeded; a run in which none succeeds proves nothing. */
  readonly succeeded: number
  readonly violations: readonly Violation[]
  readonly history: History
}

/** Minimum number of successful requests for a run to be conclusive; a run without faults has over 200. */
export const MIN_RESULTS = 50

/**
 * Runs the simulation with the injections and checks all guarantees.
 *
 * @example
 * runInjections(7, []).violations // []
 */
export function runInjections (seed: number, injections: readonly Injection[], variant?: Variant): CellResult {
  const createMember = variant?.createMember?.(createCoreProcess) ?? createCoreProcess
  const { history, injected } = World.run({ seed, injections, createMember, alterTargetCall: variant?.alterTargetCall })
  const succeeded = filterByType(history, 'caller-answered').filter((answered) => answered.answer.type === 'succeeded').length
  return { seed, injections, reached: injected.length === injections.length, succeeded, violations: checkHistory(history), history }
}

/**
 * Returns whether the run violates a guarantee or has too few successful requests to be conclusive.
 *
 * @example
 * isRed(runInjections(7, [])) // false
 */
export function isRed (result: CellResult): boolean {
  return result.violations.length > 0 || result.succeeded < MIN_RESULTS
}

/** Formats the guarantee, the detail and up to eight observations of a violation, one observation a line. */
export function describeViolation (violation: Violation): string {
  const shown = violation.evidence.slice(0, 8).map((observation) => `    ${JSON.stringify(observation)}`)
  return [`  guarantee ${violation.guarantee}: ${violation.detail}`, ...shown].join('\n')
}
