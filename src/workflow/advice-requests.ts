import { queueOf } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { AdviceAnswer } from '../ports/order-client.ts'
import { hasRoomNow, suitableTargets, takesWork } from './placement.ts'
import { isStartable } from './startable.ts'
import type { TargetState } from './target-state.ts'
import type { Job, StepRun } from './task.ts'

/** Extra time before a step's turn at which its tickets are asked for, in milliseconds. */
const AHEAD_MARGIN_MS = 150
/** A renewal names this many more targets than there are tasks to start. */
const SPARE_TARGETS = 3

/** Asks for tickets of a step, unless a question is open or no target could use one. */
export function askForTickets (state: CellState, step: StepRun, candidates: readonly TargetState[], urgent: boolean): void {
  if (step.advice.asking || state.askingSteps >= state.mostAskingSteps) return
  const targets = targetsToAsk(state, step, candidates)
  if (targets.length === 0) return
  step.advice.asking = true
  state.askingSteps += 1
  state.effects.push({ type: 'ask-advice', step: step.key, targets, costMs: adviceCost(state, step, targets.length), urgent })
}

/** The first question names all suitable targets; later ones those that are allowed, have room and hold no ticket. */
function targetsToAsk (state: CellState, step: StepRun, candidates: readonly TargetState[]): readonly string[] {
  const usable = candidates.filter((target) => takesWork(state, target))
  const unknown = usable.filter((target) => !step.advice.knows(target.id))
  if (!step.advice.answered) return unknown.slice(0, state.options.adviceTargets).map((target) => target.id)
  const renewable = usable.filter((target) => step.advice.allows(target.id) && hasRoomNow(state, target, step) &&
    step.advice.ticket(target.id, target.entry.incarnation, state.now) === undefined)
  const waiting = step.tasks.filter((task) => isStartable(task, state.now)).length
  const named = [...renewable.sort((left, right) => right.free().cpuMillis - left.free().cpuMillis), ...unknown.filter((target) => hasRoomNow(state, target, step))]
  return named.slice(0, Math.min(state.options.adviceTargets, waiting + SPARE_TARGETS)).map((target) => target.id)
}

function adviceCost (state: CellState, step: StepRun, targets: number): number {
  const terms = queueOf(state, step.job.definition)?.advice
  return terms === undefined ? 0 : terms.decisionMs + terms.eachTargetMs * targets
}

/** Takes in an answer; a failed question is asked again with the next pass. */
export function takeAdvice (state: CellState, key: string, asked: readonly string[], answer: AdviceAnswer): void {
  state.askingSteps = Math.max(0, state.askingSteps - 1)
  state.stale = true
  const step = findStep(state, key)
  if (step === undefined) return
  step.advice.asking = false
  if (answer.type === 'failed') return
  const validityMs = answer.validityMs ?? queueOf(state, step.job.definition)?.advice?.validityMs ?? 0
  const tickets = answer.tickets.flatMap(({ target, ticket }) => {
    const known = state.targets.get(target)
    return known === undefined ? [] : [{ target, ticket, incarnation: known.entry.incarnation }]
  })
  step.advice.record(asked, tickets, state.now + validityMs)
}

function findStep (state: CellState, key: string): StepRun | undefined {
  const [job, occurrence, step] = key.split('.')
  return state.jobs.get(job!)?.occurrences.get(Number(occurrence))?.[Number(step)]
}

/** Asks ahead for steps whose predecessors are about to end. */
export function askAhead (state: CellState): void {
  for (const step of state.open) {
    // Questions for steps whose turn has come go first.
    if (state.askingSteps * 2 >= state.mostAskingSteps) return
    const terms = queueOf(state, step.job.definition)?.advice
    if (terms === undefined || step.advice.asking || step.ready || step.spec.after.length === 0) continue
    const candidates = suitableTargets(state, step)
    const costMs = adviceCost(state, step, step.advice.answered ? step.spec.count : candidates.length)
    const dueMs = remainingBefore(step.job, step, state.now)
    if (dueMs === undefined || dueMs > costMs + AHEAD_MARGIN_MS) continue
    if (!step.advice.answered) askForTickets(state, step, candidates, false)
  }
}

/** Estimated time until the predecessors of a step have ended; undefined while one of their tasks does not run. */
function remainingBefore (job: Job, step: StepRun, now: number): number | undefined {
  let longest = 0
  for (const number of step.spec.after) {
    for (const task of job.occurrences.get(step.occurrence)![number]?.tasks ?? []) {
      if (task.phase === 'done') continue
      const [live] = task.runs
      if (live === undefined || live.phase !== 'running') return undefined
      const elapsedMs = now - live.startedAt
      longest = Math.max(longest, task.step.spec.estimatedMs - elapsedMs)
    }
  }
  return longest
}
