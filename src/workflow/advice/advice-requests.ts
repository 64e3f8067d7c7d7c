import type { AdviceResponse, CachedAdvice } from '../../ports/command-client.ts'
import { CAPACITY_FACTOR, updateAllowedRatio, selectAdviceTargets } from './advice-targets.ts'
import { isUrgent, findQueue } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { isOverdue } from './overdue-advice.ts'
import { needsAdvice } from '../room/placement.ts'
import { countFreeSlots } from '../room/target-acceptance.ts'
import { acceptsTaskOf } from '../room/task-acceptance.ts'
import type { StepRun } from '../task.ts'

/** Tickets of a step are requested this long before they are needed, on top of the estimated duration of the request. */
const PREFETCH_MARGIN_MS = 150
/**
 * A step for which no target could be selected searches all targets again after this time, in milliseconds; until then it
 * examines the targets that may have more room than before. Pauses of targets and tickets end without such a change.
 */
const FULL_SEARCH_INTERVAL_MS = 500

/** Number of targets that the searches of steps whose requests go before all others examine on top of those of the others. */
const PRECEDING_SEARCH_BUDGET_TARGETS = 2_000

/**
 * Whether advice for the step may be requested now. This check is cheap and runs before targets are selected.
 * `prefetch`: the step is not ready yet.
 */
function mayRequestAdvice (state: CellState, step: StepRun, prefetch = false): boolean {
  if (step.advice.requestPending) return false
  return takesPrecedence(state, step) || state.pendingAdvice.mayRequest(isUrgent(state, step.job.definition) || (prefetch && state.lastingPrecedence.isAwaiting(step)), prefetch, state.now)
}

/** Whether a request of the step goes before all others: one of its tasks lasts and has had no run for too long. */
function takesPrecedence ({ lastingPrecedence, pendingAdvice, now }: CellState, step: StepRun): boolean {
  return lastingPrecedence.isOverdue(step) && pendingAdvice.mayPrecede(lastingPrecedence.isPressing(step), now)
}

/**
 * Requests tickets for a step, unless a request is pending or no target could use one. `prefetch`: the step is not ready
 * yet. `neededAt`: when the tickets must still be valid, on the scheduler's clock.
 */
export function requestAdvice (state: CellState, step: StepRun, prefetch = false, neededAt = state.now): void {
  if (step.advice.requestPending) return
  if (!mayRequestAdvice(state, step, prefetch)) {
    if (!prefetch) step.advice.waitsForChannelSince ??= state.now
    return
  }
  const urgent = isUrgent(state, step.job.definition)
  const precedes = takesPrecedence(state, step)
  if (state.searchBudget <= (precedes ? -PRECEDING_SEARCH_BUDGET_TARGETS : 0)) {
    state.startPassNeeded = true
    return
  }
  const { advice } = step
  const changed = advice.searchedTo === undefined || advice.fullSearchAt <= state.now ? undefined : state.roomLog.getSince(advice.searchedTo)
  const targets = selectAdviceTargets(state, step, { prefetch, changed, neededAt })
  if (targets.length === 0) {
    if (changed === undefined) advice.fullSearchAt = state.now + FULL_SEARCH_INTERVAL_MS
    advice.searchedTo = state.roomLog.position
    advice.waitsForChannelSince = undefined
    return
  }
  const costMs = computeAdviceCostMs(state, step, targets.length)
  state.pendingAdvice.add(step.key, { urgent, overdue: isOverdue(state, step), precedes, costMs, now: state.now })
  advice.searchedTo = undefined
  advice.waitsForChannelSince = undefined
  advice.requestPending = true
  state.effects.push({ type: 'request-advice', step: step.key, targets, costMs, urgent: urgent || precedes })
}

/** Time that the advisor needs for a request of the step, in milliseconds. */
export function computeAdviceCostMs (state: CellState, step: StepRun, targetCount: number): number {
  const timings = findQueue(state, step.job.definition)?.advice
  return timings === undefined ? 0 : timings.decisionMs + timings.perTargetMs * targetCount
}

/** Handles an advice response. A failed request is sent again by the next start pass. */
export function handleAdviceResponse (state: CellState, key: string, requestedTargets: readonly string[], response: AdviceResponse): void {
  state.pendingAdvice.remove(key)
  state.startPassNeeded = true
  const step = findStep(state, key)
  if (step === undefined) return
  step.advice.requestPending = false
  if (response.type === 'failed') return
  const validityMs = response.validityMs ?? findQueue(state, step.job.definition)?.advice?.validityMs ?? 0
  const newTargets = new Set(requestedTargets.filter((target) => !step.advice.hasResponseFor(target)))
  updateAllowedRatio(state, step.job.definition.queue, newTargets.size, response.tickets.filter(({ target }) => newTargets.has(target)).length)
  recordAdvice(state, step, { asked: requestedTargets, tickets: response.tickets, validForMs: validityMs })
}

/** Records advice that members received for a previous owner, so that it need not be requested again. */
export function restoreCachedAdvice (state: CellState, advice: readonly CachedAdvice[]): void {
  for (const cached of advice) {
    const step = findStep(state, cached.step)
    if (step !== undefined) recordAdvice(state, step, cached)
  }
  state.startPassNeeded = true
}

/** A ticket is bound to the current incarnation of its target. That the target is allowed holds for all incarnations. */
function recordAdvice (state: CellState, step: StepRun, { asked: requestedTargets, tickets, validForMs }: Omit<CachedAdvice, 'step'>): void {
  const ticketsWithIncarnation = tickets.map(({ target, ticket }) => ({ target, ticket, incarnation: state.targets.get(target)?.entry.incarnation }))
  step.advice.record(requestedTargets, ticketsWithIncarnation, state.now + validForMs)
}

function findStep (state: CellState, key: string): StepRun | undefined {
  const [job, occurrence, step] = key.split('.')
  return state.jobs.get(job!)?.occurrences.get(Number(occurrence))?.find(Number(step))
}

/** Requests advice for steps whose tasks may start soon. */
export function prefetchAdvice (state: CellState): void {
  prefetchForAwaiting(state)
  prefetchForSuccessors(state)
}

/**
 * Keeps tickets for tasks that last and wait until the runs of previous owners are known: when that is, all that was left
 * needs the advisor at once. The steps whose tickets end first come first.
 */
function prefetchForAwaiting (state: CellState): void {
  const steps = [...state.lastingPrecedence.awaiting].filter((step) => needsAdvice(state, step))
  steps.sort((left, right) => left.advice.validUntil - right.advice.validUntil)
  for (const step of steps) {
    const neededAt = state.now + computeAdviceCostMs(state, step, step.waitingTasks) + PREFETCH_MARGIN_MS
    if (!hasTicketsFor(state, step, neededAt)) requestAdvice(state, step, true, neededAt)
  }
}

/** Whether the waiting tasks of a step, and as many others, have room on targets whose tickets are still valid at the given time. */
function hasTicketsFor (state: CellState, step: StepRun, time: number): boolean {
  const targets = step.advice.findTargetsWithTicket(time).flatMap((id) => state.targets.get(id) ?? [])
  const slots = targets.filter((target) => acceptsTaskOf(state, target, step)).reduce((sum, target) => sum + countFreeSlots(target, step), 0)
  return slots >= CAPACITY_FACTOR * step.waitingTasks
}

/** Requests advice for steps whose predecessors are about to end. */
function prefetchForSuccessors (state: CellState): void {
  for (const step of state.openSteps) {
    // Requests for steps that are ready take precedence.
    if (state.pendingAdvice.size >= state.pendingAdvice.channels) return
    if (step.ready || step.spec.after.length === 0 || step.advice.hasResponse || !needsAdvice(state, step)) continue
    if (!mayRequestAdvice(state, step, true)) continue
    const dueMs = estimateTimeUntilReadyMs(step, state.now)
    if (dueMs === undefined || dueMs > computeAdviceCostMs(state, step, step.spec.count) + PREFETCH_MARGIN_MS) continue
    requestAdvice(state, step, true)
  }
}

/** Estimates the time until all predecessors of a step have ended; undefined while one of their tasks is not running. */
function estimateTimeUntilReadyMs (step: StepRun, now: number): number | undefined {
  let longestMs = 0
  for (const stepNumber of step.spec.after) {
    if (step.siblings.isDone(stepNumber)) continue
    const tasks = step.siblings.find(stepNumber)?.tasks
    if (tasks === undefined) return undefined
    if (tasks.unstartedCount > 0) return undefined
    for (const task of tasks.known()) {
      if (task.phase === 'done') continue
      const [live] = task.runs
      if (live === undefined || live.phase !== 'running') return undefined
      const elapsedMs = now - live.startedAt
      longestMs = Math.max(longestMs, task.step.expectedMs - elapsedMs)
    }
  }
  return longestMs
}
