import { hash } from '../src/util/hash.ts'
import { FAULT_NAMES, FAULT_PAIRS, type FaultName } from './fault-catalogue.ts'
import type { Injection } from './injector.ts'
import { PHASES } from './scenario.ts'
import { STEPS, type Step } from './steps.ts'

/** How the faults of a cell are combined. */
export type FaultCombination = 'alone' | 'together' | 'together-twice'

/** One run of the fault matrix. */
export type Cell = {
  readonly name: string
  readonly step: Step
  readonly shape: FaultCombination
  readonly faults: readonly FaultName[]
  readonly injections: readonly Injection[]
}

/** Time between the start of the faults that a step requires and the time from which its messages are counted. */
const REQUIRED_FAULT_LEAD_MS = 100
/** Delay between the two injections of a pair; recovery from the first is not complete on all nodes by then. */
const SECOND_INJECTION_DELAY_MS = 14_000
const MAX_OCCURRENCE = 3

/** All cells: each fault alone and each pair of faults, at each step. */
export const CELLS: readonly Cell[] = STEPS.flatMap((step) => [
  ...FAULT_NAMES.filter((fault) => isApplicable(step, fault)).map((fault) => createCell(step, 'alone', [fault])),
  ...FAULT_PAIRS.filter((pair) => pair.every((fault) => isApplicable(step, fault))).flatMap((pair) => [
    createCell(step, 'together', pair),
    createCell(step, 'together-twice', pair)
  ])
])

/** Messages between members are one-way, so `answer-lost` does not apply to them. */
function isApplicable (step: Step, fault: FaultName): boolean {
  return fault !== 'answer-lost' || !step.name.startsWith('peer:')
}

/**
 * Creates a cell with its injections. The hash of the cell's name selects the message of the step that the fault affects,
 * so that each run of a cell is the same.
 *
 * @example
 * createCell(STEPS[0]!, 'alone', ['lost'])
 */
export function createCell (step: Step, shape: FaultCombination, faults: readonly FaultName[]): Cell {
  const name = `${step.name} ${faults.join('+')} ${shape}`
  const first = PHASES.faultsFrom
  const starts = shape === 'together-twice' ? [first, first + SECOND_INJECTION_DELAY_MS] : [first]
  // A step that requires other faults may occur only once.
  const occurrence = step.requiredFaults.length > 0 ? 1 : 1 + hash(name) % MAX_OCCURRENCE
  const injections = starts.flatMap((notBefore) => faults.map((fault): Injection => ({ step: step.name, fault, occurrence, notBefore })))
  return { name, step, shape, faults, injections: [...starts.flatMap((at) => createRequiredInjections(step, at)), ...injections] }
}

function createRequiredInjections (step: Step, countedFrom: number): readonly Injection[] {
  return step.requiredFaults.map((fault) => ({ step: 'peer:heartbeat', fault, occurrence: 1, notBefore: countedFrom - REQUIRED_FAULT_LEAD_MS }))
}
