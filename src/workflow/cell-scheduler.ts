import { assertNever } from '../util/assert-never.ts'
import { NO_LISTENER } from '../ports/command-client.ts'
import type { Overload } from './advice/advice-backlog.ts'
import { prefetchAdvice, restoreCachedAdvice, handleAdviceResponse } from './advice/advice-requests.ts'
import { removeExpiredRuns, resendCommands, handleStartResponse, handleStopResponse } from './commands/command-responses.ts'
import { log, recordRoom } from './cell-state.ts'
import type { CellState, PassWork } from './cell-state.ts'
import { buildCellSummary } from './cell-summary.ts'
import type { CellSummary } from './cell-summary.ts'
import type { CellEffect } from './effect.ts'
import { handleListing, removeRunsLostByRestarts } from './handle-listing.ts'
import type { CellEvent, ProcessedCompletions } from './event.ts'
import type { CompletionForecast } from './forecast/completion-forecast.ts'
import { loadDeferredJobs, needDeferredJobs } from './deferred-jobs.ts'
import type { JobPhase } from './job.ts'
import { isFinalPhase } from './job.ts'
import { SEARCH_BUDGET_TARGETS, createCellState } from './create-cell-state.ts'
import { acceptJob, addLoadedJob, endJob, giveUpDeferredJob, openDueOccurrences, openNextSteps, removeEndedJobs, restoreDeferredJob, restoreJob } from './jobs.ts'
import { countQueuedJobsByQueue, findDeferredJobs, getProgress, getVisiblePhase, needsDefinition } from './job-queries.ts'
import { restorePastUse, updatePastUse } from './past-use/update-past-use.ts'
import type { AccountEntry } from './past-use/past-use.ts'
import type { CellOptions } from './options.ts'
import { DEFAULT_CELL_OPTIONS } from './options.ts'
import { restoreClosedTargets } from './takeover/closed-targets.ts'
import { confirmCrash, prunePossibleCrashes, recordPossibleCrash } from './crashes/crashes.ts'
import { throttleTargets } from './room/throttling.ts'
import type { JobProgress } from './progress-record.ts'
import { handleProgressStored } from './handle-progress-stored.ts'
import { applyConfiguration, restoreRemovedSettings } from './settings/removed-settings.ts'
import { formatRunKey } from './run-key.ts'
import { runStartPass } from './start-pass.ts'
import { stopStragglers } from './stragglers.ts'
import { forgetDepartedTargets } from './takeover/departed-targets.ts'
import { findUnsettledTargets } from './takeover/earlier-lapse.ts'
import type { UnsettledTargets } from './takeover/earlier-lapse.ts'
import { computeLongestEarlierLeaseMs, restoreIncarnations } from './takeover/earlier-leases.ts'
import type { TargetListing } from './target-entry.ts'
import type { TargetState } from './target-state.ts'
import { removeGoneTargets, recordReduction, recordStoredTargets, handleTargetPublished, handleTargetRestarted, pruneStoredTargets, resolveEarlierRuns, resolveListedRuns, handleTargetWithdrawn, useSpareTargets } from './targets.ts'
import { toKnownResponse } from './commands/revoked-commands.ts'
import { hasUnansweredStarts, recordRejection, recordStartResponse, resendRejections } from './commands/unanswered-starts.ts'

/**
 * Schedules the steps of all jobs of a cell on its targets. It does no I/O and reads no clock: each event carries the
 * current time and returns the effects to perform.
 *
 * @example
 * const scheduler = CellScheduler.create({ firstRunNumber: 1 })
 * const effects = scheduler.apply({ type: 'job-accepted', definition }, now)
 */
export class CellScheduler {
  private constructor (private readonly state: CellState) {}

  static create (options: Partial<CellOptions> = {}): CellScheduler {
    return new CellScheduler(createCellState({ ...DEFAULT_CELL_OPTIONS, ...options }))
  }

  /** Applies one event; `now` is the monotonic clock in milliseconds. */
  apply (event: CellEvent, now: number): readonly CellEffect[] {
    this.begin(now)
    this.handle(event)
    return this.state.effects
  }

  /** Starts the tasks that can start after the events since the last call. */
  startTasks (now: number): readonly CellEffect[] {
    if (!this.state.startPassNeeded) return []
    this.begin(now)
    runStartPass(this.state)
    return this.state.effects
  }

  /** Indicates that runs of a previous owner may exist, so that tasks of restored jobs wait for the listings of targets. */
  expectEarlierRuns (): void {
    this.state.earlierRunsPossible = true
    this.state.earlierCommands = { type: 'unknown' }
  }

  /** Whether some tasks wait because of runs of a previous owner. */
  get earlierRunsExpected (): boolean {
    return this.state.earlierRunsPossible || this.state.heldBackTasks.size > 0
  }

  /**
   * Whether every known target has been listed under this owner, or is closed so that its possible runs are known. One that no
   * owner has used need not answer.
   */
  get allTargetsListed (): boolean {
    return [...this.state.targets.values()].every(({ listed, unused, listUnanswered, id }) => listed || (unused && listUnanswered) || this.state.closedTargets.has(id))
  }

  /** Longest lease that an earlier owner may have given to a target that has not been listed. */
  get longestEarlierLeaseMs (): number {
    return computeLongestEarlierLeaseMs(this.state)
  }

  /** Targets of earlier owners that are not listed, and whose leases may go on after this time, on the scheduler's clock. */
  findUnsettledTargets (time: number): UnsettledTargets {
    return findUnsettledTargets(this.state, time)
  }

  /** Whether this owner, or one before, has promised that a target gets no lease and no start. */
  isPromisedSilent (id: string): boolean {
    return this.state.silentTargets.isPromised(id)
  }

  /** Whether it is stored that commands to a target may reach a later incarnation than the one that is meant. */
  mayReachNext (id: string): boolean {
    return this.state.unboundTargets.mayReachNext(id)
  }

  /** Phase of a job as callers may see it: `completed` or `failed` only once that is stored. Undefined if the job is unknown. */
  getPhase (id: string): JobPhase | undefined {
    return getVisiblePhase(this.state, id)
  }

  /** Whether a new owner would need the definition of a job: the job is active, or runs of it are still being stopped. */
  needsDefinition (id: string): boolean {
    return needsDefinition(this.state, id)
  }

  getProgress (id: string): JobProgress | undefined {
    return getProgress(this.state, id)
  }

  /** Counts the untimed jobs of each queue that have not started any task. */
  countQueuedJobsByQueue (): Readonly<Record<string, number>> {
    return countQueuedJobsByQueue(this.state)
  }

  /** Long waits for advice, for which members refuse jobs. */
  get overloads (): readonly Overload[] {
    return this.state.adviceBacklog.overloads
  }

  /** Long waits for room, for which members refuse jobs. */
  get forecasts (): readonly CompletionForecast[] {
    return this.state.forecasts.list
  }

  /** Whether the jobs that have not ended take so much memory that no further large one should be accepted. */
  get isFull (): boolean {
    return this.state.heldJobs.isFull
  }

  /** Memory that further large jobs may take, in bytes. */
  get roomBytes (): number {
    return this.state.heldJobs.roomBytes
  }

  /** Whether they take so much memory that no further job should be accepted. */
  get isFullForAll (): boolean {
    return this.state.heldJobs.isFullForAll
  }

  /** Whether jobs are being read without which the runs of previous owners are not known. */
  get awaitsDeferredJobs (): boolean {
    return this.state.deferredJobs.isOneNeeded
  }

  /** The deferred jobs that a listing names. They must be read before the listing can be handled. */
  findDeferredJobs (listing: TargetListing): readonly string[] {
    return findDeferredJobs(this.state, listing)
  }

  get summary (): CellSummary {
    return buildCellSummary(this.state)
  }

  /** What the organisations have used, largest first; empty unless past use counts. */
  get pastUse (): readonly AccountEntry[] {
    return this.state.pastUse.list(this.state.now)
  }

  /** Counts the known targets of each failure domain. */
  countTargetsByDomain (): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const { entry } of this.state.targets.values()) counts.set(entry.failureDomain, (counts.get(entry.failureDomain) ?? 0) + 1)
    return counts
  }

  /** Number of the last started run. */
  get lastRunNumber (): number {
    return this.state.lastRunNumber
  }

  getTarget (id: string): TargetState | undefined {
    return this.state.targets.get(id)
  }

  /** Processed completions of each target. They may be acknowledged once the current progress is stored. */
  getProcessedCompletions (): readonly ProcessedCompletions[] {
    return [...this.state.targets.values()].map(({ id, entry, lastProcessed }) => ({ target: id, incarnation: entry.incarnation, lastNumber: lastProcessed }))
  }

  /** Work of the start passes since the last call. */
  takePassWork (): Readonly<PassWork> {
    const { passWork } = this.state
    const work = { ...passWork }
    Object.assign(passWork, { passes: 0, steps: 0, targets: 0 } satisfies PassWork)
    return work
  }

  private begin (now: number): void {
    this.state.now = now
    this.state.effects = []
    this.state.openTargets.clear()
    this.state.searchBudget = SEARCH_BUDGET_TARGETS
  }

  private handle (event: CellEvent): void {
    const { state } = this
    switch (event.type) {
      case 'configured': return applyConfiguration(state, event.configuration)
      case 'domains-out':
        state.evacuatedDomains.clear()
        for (const domain of event.domains) state.evacuatedDomains.add(domain)
        for (const target of state.targets.values()) state.roomLog.record(target)
        state.startPassNeeded = true
        return log(state, 'info', 'domains-out', { domains: event.domains.join(',') })
      case 'target-published': return handleTargetPublished(state, event.entry)
      case 'target-withdrawn': return handleTargetWithdrawn(state, event.id)
      case 'target-listed': return this.handleTargetListed(event)
      case 'list-unanswered': return this.handleListUnanswered(event.id)
      case 'target-silent': return this.handleTargetUnreachable(event)
      case 'start-answered':
      case 'stop-answered': return this.handleCommandResponse(event)
      case 'advised': return handleAdviceResponse(state, event.step, event.requestedTargets, event.response)
      case 'advice-channels':
        state.pendingAdvice.channels = event.channels
        return
      case 'advice-known': return restoreCachedAdvice(state, event.advice)
      case 'job-accepted': return acceptJob(state, event.definition)
      case 'job-restored': return restoreJob(state, event.definition, event.progress)
      case 'job-deferred': return restoreDeferredJob(state, event.outline, event.phase, event.restored)
      case 'job-loaded': return addLoadedJob(state, event.definition, event.progress)
      case 'job-not-loaded': return giveUpDeferredJob(state, event.id, event.phase)
      case 'deferred-jobs-listed': return needDeferredJobs(state, event.ids)
      case 'ended-job-restored':
        // Without a final phase it is a job that must not be started; it is kept until its record has been repaired.
        state.endedJobs.set(event.id, { phase: event.phase, endedAt: isFinalPhase(event.phase) ? state.now : Infinity })
        return
      case 'job-cancelled': return this.handleJobCancelled(event.id)
      case 'progress-stored': return handleProgressStored(state, event)
      case 'targets-stored':
        state.unboundTargets.recordStored(event.unbound ?? [])
        return recordStoredTargets(state, event.ids)
      case 'closed-targets-restored': return restoreClosedTargets(state, event.closed)
      case 'incarnations-restored': return restoreIncarnations(state, event.incarnations, event.unbound)
      case 'silent-targets-restored': return state.silentTargets.restore(state, event.targets)
      case 'silent-targets-stored': return this.handleSilentTargetsStored(event.ids)
      case 'settings-restored': return restoreRemovedSettings(state, event.record)
      case 'learned-restored':
        if (event.record === 'run-times') return state.runTimes.restore(state, event.value)
        return restorePastUse(state, event)
      case 'earlier-runs-listed': return resolveListedRuns(state)
      case 'earlier-runs-lapsed': return resolveEarlierRuns(state, 'lapsed')
      case 'tick': return this.handleTick(event)
      default: return assertNever(event)
    }
  }

  private handleTargetListed (event: Extract<CellEvent, { type: 'target-listed' }>): void {
    const target = this.state.targets.get(event.id)
    if (target === undefined) return
    if (target.matchesIncarnation(event.listing)) {
      handleListing(this.state, target, event.listing, event.sentAt)
      if (event.isReduced !== undefined) recordReduction(this.state, target, event.isReduced)
      return this.state.silentTargets.handleAnswer(target)
    }
    if (event.listing.incarnation < target.entry.incarnation) return
    handleTargetRestarted(this.state, target, event.listing.incarnation)
  }

  private handleListUnanswered (id: string): void {
    const target = this.state.targets.get(id)
    if (target !== undefined) target.listUnanswered = true
  }

  private handleTargetUnreachable ({ id, cause }: Extract<CellEvent, { type: 'target-silent' }>): void {
    const target = this.state.targets.get(id)
    if (cause === 'fenced') this.state.effects.push({ type: 'fenced', target: id })
    if (target === undefined) return
    target.listUnanswered = true
    target.processEnded = cause === NO_LISTENER || cause === 'other-incarnation'
    if (target.reachable) {
      recordPossibleCrash(this.state, target)
      target.reachable = false
      log(this.state, 'warn', 'target-silent', { target: id, runs: target.runs.size, cause })
    }
    if (cause === 'other-incarnation') confirmCrash(this.state, target)
  }

  private handleCommandResponse (event: Extract<CellEvent, { type: 'start-answered' | 'stop-answered' }>): void {
    if (event.type === 'start-answered' && this.state.startWindow.recordAnswer(formatRunKey(event.task, event.run), this.state.now)) this.state.startPassNeeded = true
    const target = this.state.targets.get(event.target)
    if (target === undefined) return
    const response = toKnownResponse(target, event)
    if (event.type === 'start-answered') recordStartResponse(target, event.task, event.run, response)
    // The response may be one of the incarnation before, which knows nothing of this one.
    if (target.entry.incarnation !== event.incarnation) return
    if (event.type === 'stop-answered' && response.type === 'accepted') recordRejection(target, event.task, event.run)
    const live = target.find(event.task, event.run)
    if (live === undefined) return
    if (event.type === 'start-answered' && !hasUnansweredStarts(target, live)) live.startCommandsEndAt = Math.min(live.startCommandsEndAt, this.state.now)
    if (event.type === 'start-answered') handleStartResponse(this.state, target, live, response)
    else handleStopResponse(this.state, target, live, response)
  }

  private handleSilentTargetsStored (ids: readonly string[]): void {
    for (const id of this.state.silentTargets.recordStored(new Set(ids))) {
      const target = this.state.targets.get(id)
      if (target !== undefined) recordRoom(this.state, target)
    }
  }

  private handleJobCancelled (id: string): void {
    const job = this.state.jobs.get(id)
    if (job !== undefined) return endJob(this.state, job, 'cancelled', 'cancelled by its caller')
    const deferred = this.state.deferredJobs.find(id)
    if (deferred === undefined) return
    deferred.isCancelled = true
    needDeferredJobs(this.state, [id])
  }

  private handleTick ({ aloneUntil, late = false, earlierCommandsEndAt }: Extract<CellEvent, { type: 'tick' }>): void {
    const { state } = this
    state.aloneUntil = aloneUntil ?? Infinity
    if (earlierCommandsEndAt !== undefined) state.earlierCommands = { type: 'known', endAt: earlierCommandsEndAt }
    useSpareTargets(state)
    if (!late) {
      resendCommands(state)
      resendRejections(state)
      state.silentTargets.update(state)
    }
    removeExpiredRuns(state)
    removeRunsLostByRestarts(state)
    removeGoneTargets(state)
    forgetDepartedTargets(state)
    prunePossibleCrashes(state)
    pruneStoredTargets(state)
    stopStragglers(state)
    throttleTargets(state)
    prefetchAdvice(state)
    state.adviceBacklog.update(state)
    state.runTimes.update(state)
    state.lastingBacklogs.update(state)
    state.forecasts.update(state)
    updatePastUse(state)
    for (const job of state.jobs.values()) {
      if (!job.active) continue
      openNextSteps(state, job)
      openDueOccurrences(state, job)
    }
    loadDeferredJobs(state)
    removeEndedJobs(state)
    state.concludedStarts.store(state)
    state.lastingTasks.update(state)
    state.unsettledRuns.update(state)
    if (state.openSteps.size > 0) state.startPassNeeded = true
  }
}
