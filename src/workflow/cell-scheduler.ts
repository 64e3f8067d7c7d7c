import { assertNever } from '../util/assert-never.ts'
import { askAhead, recallAdvice, takeAdvice } from './advice-requests.ts'
import { dropLapsed, resendOrders, startAnswered, stopAnswered } from './command-responses.ts'
import type { CellConfiguration } from './cell-configuration.ts'
import { log } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import { summaryOf } from './cell-summary.ts'
import type { CellSummary } from './cell-summary.ts'
import type { CellEffect } from './effect.ts'
import { takeListing } from './handle-listing.ts'
import type { CellEvent, ProcessedCompletions } from './event.ts'
import type { JobPhase } from './job.ts'
import { NO_DEMAND } from './job.ts'
import { acceptJob, endJob, isReleasable, openDueOccurrences, restoreJob } from './jobs.ts'
import { PendingAdvice } from './pending-advice.ts'
import type { CellOptions } from './options.ts'
import { DEFAULT_CELL_OPTIONS } from './options.ts'
import { throttleTargets } from './throttling.ts'
import type { JobProgress } from './progress-record.ts'
import { progressOf } from './progress-record.ts'
import { startPass } from './start-pass.ts'
import { stopStragglers } from './stragglers.ts'
import type { TargetState } from './target-state.ts'
import { forgetTargets, noteStoredTargets, publishTarget, releaseDrained, settleEarlierRuns, withdrawTarget } from './targets.ts'

/**
 * Schedules the steps of all jobs of a cell on its targets. A pure reducer: each event returns effects, and time comes
 * with the event.
 *
 * @example
 * const cell = Cell.create({ firstRun: 1 })
 * const effects = cell.apply({ type: 'job-accepted', definition }, now)
 */
export class CellScheduler {
  private constructor (private readonly state: CellState) {}

  static create (options: Partial<CellOptions> = {}): CellScheduler {
    const all = { ...DEFAULT_CELL_OPTIONS, ...options }
    return new CellScheduler({
      options: all,
      now: 0,
      effects: [],
      configuration: undefined,
      queues: new Map(),
      organisations: new Map(),
      used: new Map(),
      submissions: new Map(),
      jobs: new Map(),
      ended: new Map(),
      open: new Set(),
      targets: new Map(),
      domainsOut: new Set(),
      storedTargets: new Set(),
      earlierRunsPossible: false,
      pendingAdvice: PendingAdvice.create(),
      allowedShare: new Map(),
      uncertain: NO_DEMAND,
      lastRun: all.firstRun - 1,
      stale: false
    })
  }

  /** Applies one event; `now` is the steady clock in milliseconds. */
  apply (event: CellEvent, now: number): readonly CellEffect[] {
    this.state.now = now
    this.state.effects = []
    this.handle(event)
    return this.state.effects
  }

  /** Starts whatever the events since the last call have made possible. */
  start (now: number): readonly CellEffect[] {
    if (!this.state.stale) return []
    this.state.now = now
    this.state.effects = []
    startPass(this.state)
    return this.state.effects
  }

  /** Tells that targets of an earlier owner have to be listed before restored tasks may start. */
  expectEarlierRuns (): void {
    this.state.earlierRunsPossible = true
  }

  get earlierRunsExpected (): boolean {
    return this.state.earlierRunsPossible
  }

  /** Whether every known target has been listed under this owner. */
  get allListed (): boolean {
    return [...this.state.targets.values()].every((target) => target.listed)
  }

  /** Phase of a job as far as it is stored; undefined if the job is not known. */
  phaseOf (id: string): JobPhase | undefined {
    const job = this.state.jobs.get(id)
    if (job === undefined) return this.state.ended.get(id)?.phase
    return job.active || job.phase === 'cancelled' ? job.phase : job.shownPhase
  }

  /** Whether a new owner would need the definition of a job: it runs, or what it ran is still being stopped. */
  needsDefinition (id: string): boolean {
    const job = this.state.jobs.get(id)
    return job === undefined || !isReleasable(job)
  }

  progressOf (id: string): JobProgress | undefined {
    const job = this.state.jobs.get(id)
    return job === undefined ? undefined : progressOf(job)
  }

  /** For each queue the number of jobs without times of which no task has started. */
  waitingByQueue (): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {}
    for (const { definition, phase } of this.state.jobs.values()) {
      if (phase === 'queued' && definition.firstAtMs === 0) counts[definition.queue] = (counts[definition.queue] ?? 0) + 1
    }
    return counts
  }

  get summary (): CellSummary {
    return summaryOf(this.state)
  }

  target (id: string): TargetState | undefined {
    return this.state.targets.get(id)
  }

  /** Ends processed on each target; they may be acknowledged once the progress taken now is stored. */
  processedEnds (): readonly ProcessedCompletions[] {
    return [...this.state.targets.values()].map(({ id, entry, processed }) => ({ target: id, incarnation: entry.incarnation, number: processed }))
  }

  private handle (event: CellEvent): void {
    const { state } = this
    switch (event.type) {
      case 'configured': return configure(state, event.configuration)
      case 'domains-out':
        state.domainsOut.clear()
        for (const domain of event.domains) state.domainsOut.add(domain)
        state.stale = true
        return log(state, 'info', 'domains-out', { domains: event.domains.join(',') })
      case 'target-published': return publishTarget(state, event.entry)
      case 'target-withdrawn': return withdrawTarget(state, event.id)
      case 'target-listed': return this.listed(event)
      case 'target-silent': return this.silent(event)
      case 'start-answered':
      case 'stop-answered': return this.answered(event)
      case 'advised': return takeAdvice(state, event.step, event.asked, event.answer)
      case 'advice-channels':
        state.pendingAdvice.channels = event.channels
        return
      case 'advice-known': return recallAdvice(state, event.advice)
      case 'job-accepted': return acceptJob(state, event.definition)
      case 'job-restored': return restoreJob(state, event.definition, event.progress)
      case 'ended-job-restored':
        state.ended.set(event.id, { phase: event.phase, endedAt: state.now })
        return
      case 'job-cancelled': return this.cancelled(event.id)
      case 'progress-stored': return this.stored(event)
      case 'targets-stored': return noteStoredTargets(state, event.ids)
      case 'earlier-runs-lapsed': return settleEarlierRuns(state)
      case 'tick': return this.tick()
      default: return assertNever(event)
    }
  }

  private listed (event: Extract<CellEvent, { type: 'target-listed' }>): void {
    const target = this.state.targets.get(event.id)
    if (target === undefined) return
    if (target.isOf(event.listing)) return takeListing(this.state, target, event.listing, event.sentAt)
    if (event.listing.incarnation < target.entry.incarnation) return
    // The target has started anew before its entry told so; room and labels are checked with the next entry.
    publishTarget(this.state, { ...target.entry, incarnation: event.listing.incarnation })
  }

  private silent ({ id, refusal }: Extract<CellEvent, { type: 'target-silent' }>): void {
    const target = this.state.targets.get(id)
    if (refusal === 'fenced') this.state.effects.push({ type: 'fenced', target: id })
    if (target === undefined || !target.reachable) return
    target.reachable = false
    log(this.state, 'warn', 'target-silent', { target: id, runs: target.runs.size, refusal: refusal ?? 'no-answer' })
  }

  private answered (event: Extract<CellEvent, { type: 'start-answered' | 'stop-answered' }>): void {
    const target = this.state.targets.get(event.target)
    const live = target?.find(event.task, event.run)
    if (target === undefined || live === undefined) return
    if (event.type === 'start-answered') startAnswered(this.state, target, live, event.answer)
    else stopAnswered(this.state, target, live, event.answer)
  }

  private cancelled (id: string): void {
    const job = this.state.jobs.get(id)
    if (job !== undefined) endJob(this.state, job, 'cancelled', 'cancelled by its caller')
  }

  private stored ({ phases, released, ends }: Extract<CellEvent, { type: 'progress-stored' }>): void {
    for (const [id, phase] of phases) {
      const job = this.state.jobs.get(id)
      if (job !== undefined) job.shownPhase = phase
    }
    for (const id of released) {
      const job = this.state.jobs.get(id)
      if (job === undefined) continue
      this.state.jobs.delete(id)
      this.state.ended.set(id, { phase: job.phase, endedAt: job.endedAt ?? this.state.now })
    }
    for (const { target: id, incarnation, number } of ends) {
      const target = this.state.targets.get(id)
      if (target?.entry.incarnation === incarnation) target.acknowledged = Math.max(target.acknowledged, number)
    }
  }

  private tick (): void {
    const { state } = this
    resendOrders(state)
    dropLapsed(state)
    forgetTargets(state)
    releaseDrained(state)
    stopStragglers(state)
    throttleTargets(state)
    askAhead(state)
    for (const job of state.jobs.values()) {
      if (job.active) openDueOccurrences(state, job)
    }
    for (const [id, { endedAt }] of state.ended) {
      if (state.now - endedAt > state.options.retentionMs) forgetJob(state, id)
    }
    if (state.open.size > 0) state.stale = true
  }
}

function configure (state: CellState, configuration: CellConfiguration): void {
  state.configuration = configuration
  // A queue that was removed keeps its last terms for the jobs that were accepted on it.
  for (const queue of configuration.queues) state.queues.set(queue.name, queue)
  state.organisations.clear()
  for (const organisation of configuration.organisations) state.organisations.set(organisation.name, organisation)
  state.stale = true
}

/** Removes a job that ended long ago, here and from the store. */
function forgetJob (state: CellState, id: string): void {
  state.ended.delete(id)
  state.effects.push({ type: 'forget-job', job: id })
}
