import type { AdviceResponse, CachedAdvice } from '../ports/command-client.ts'
import { noteAllowedShare, targetsToAsk } from './advice-targets.ts'
import { isUrgent, queueOf } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { needsAdvice, suitableTargets } from './placement.ts'
import type { TargetState } from './target-state.ts'
import type { Job, StepRun } from './task.ts'

/** Extra time before a step's turn at which its tickets are asked for, in milliseconds. */
const AHEAD_MARGIN_MS = 150

/** Whether a question for the step may be asked now; a cheap check before its targets are looked for. */
export function mayAsk (state: CellState, step: StepRun, ahead = false): boolean {
  return !step.advice.asking && state.pendingAdvice.mayAsk(isUrgent(state, step.job.definition), ahead)
}

/** Asks for tickets of a step, unless a question is open or no target could use one. `ahead`: its turn has not come. */
export function askForTickets (state: CellState, step: StepRun, candidates: readonly TargetState[], ahead = false): void {
  if (!mayAsk(state, step, ahead)) return
  const urgent = isUrgent(state, step.job.definition)
  const targets = targetsToAsk(state, step, candidates)
  if (targets.length === 0) return
  step.advice.asking = true
  state.pendingAdvice.add(step.key, urgent)
  state.effects.push({ type: 'request-advice', step: step.key, targets, costMs: adviceCost(state, step, targets.length), urgent })
}

function adviceCost (state: CellState, step: StepRun, targets: number): number {
  const terms = queueOf(state, step.job.definition)?.advice
  return terms === undefined ? 0 : terms.decisionMs + terms.eachTargetMs * targets
}

/** Takes in an answer; a failed question is asked again with the next pass. */
export function takeAdvice (state: CellState, key: string, asked: readonly string[], answer: AdviceResponse): void {
  state.pendingAdvice.remove(key)
  state.stale = true
  const step = findStep(state, key)
  if (step === undefined) return
  step.advice.asking = false
  if (answer.type === 'failed') return
  const validityMs = answer.validityMs ?? queueOf(state, step.job.definition)?.advice?.validityMs ?? 0
  const news = new Set(asked.filter((target) => !step.advice.knows(target)))
  noteAllowedShare(state, step.job.definition.queue, news.size, answer.tickets.filter(({ target }) => news.has(target)).length)
  record(state, step, { asked, tickets: answer.tickets, validForMs: validityMs })
}

/** Takes in what members have learned for an earlier owner, so that it need not be asked again. */
export function recallAdvice (state: CellState, advice: readonly CachedAdvice[]): void {
  for (const known of advice) {
    const step = findStep(state, known.step)
    if (step !== undefined) record(state, step, known)
  }
  state.stale = true
}

/** Tickets are for the present life of a target; that it is allowed holds for all of them. */
function record (state: CellState, step: StepRun, { asked, tickets, validForMs }: Omit<CachedAdvice, 'step'>): void {
  const held = tickets.map(({ target, ticket }) => ({ target, ticket, incarnation: state.targets.get(target)?.entry.incarnation }))
  step.advice.record(asked, held, state.now + validForMs)
}

function findStep (state: CellState, key: string): StepRun | undefined {
  const [job, occurrence, step] = key.split('.')
  return state.jobs.get(job!)?.occurrences.get(Number(occurrence))?.[Number(step)]
}

/** Asks ahead for steps whose predecessors are about to end. */
export function askAhead (state: CellState): void {
  for (const step of state.open) {
    // Questions for steps whose turn has come go first.
    if (state.pendingAdvice.size >= state.pendingAdvice.channels) return
    if (step.ready || step.spec.after.length === 0 || step.advice.answered || !needsAdvice(state, step)) continue
    if (!mayAsk(state, step, true)) continue
    const dueMs = remainingBefore(step.job, step, state.now)
    if (dueMs === undefined || dueMs > adviceCost(state, step, step.spec.count) + AHEAD_MARGIN_MS) continue
    askForTickets(state, step, suitableTargets(state, step), true)
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
