import type { CommandClient, CommandResponse } from '../ports/command-client.ts'
import { assertNever } from '../util/assert-never.ts'
import type { Overload } from '../workflow/advice/advice-backlog.ts'
import type { CellConfiguration } from '../workflow/settings/cell-configuration.ts'
import { CellScheduler } from '../workflow/cell-scheduler.ts'
import { RESENT_COUNTER } from '../workflow/commands/command-responses.ts'
import type { CellEffect } from '../workflow/effect.ts'
import type { CompletionForecast } from '../workflow/forecast/completion-forecast.ts'
import type { CellEvent } from '../workflow/event.ts'
import type { JobDefinition, JobPhase } from '../workflow/job.ts'
import type { AccountEntry } from '../workflow/past-use/past-use.ts'
import type { TargetListing } from '../workflow/target-entry.ts'
import { createAdviceChannel } from './advice/advice-channel.ts'
import { AdviceDispatcher } from './advice/advice-dispatcher.ts'
import { CommandLoad } from './commands/command-load.ts'
import { completeListings } from './commands/complete-listings.ts'
import { CommandPermission } from './commands/command-permission.ts'
import { Committer } from './records/committer.ts'
import { JobLoader } from './records/job-loader.ts'
import type { ControllerOptions } from './controller-options.ts'
import { EarlierLeaders } from './leadership/earlier-leaders.ts'
import { findEarlierRunsEvent } from './leadership/earlier-runs-event.ts'
import { LateJobs } from './late-jobs.ts'
import type { Peer } from './member-call.ts'
import { PermittedCommands } from './commands/permitted-commands.ts'
import type { StoredState } from './records/read-stored-state.ts'
import { RecentPeers } from './recent-peers.ts'
import { RelayedCommands } from './commands/relayed-commands.ts'
import { restoreState } from './records/restore-state.ts'
import { computeFirstRun } from './run-numbers.ts'
import { SchedulingPasses } from './scheduling-passes.ts'
import { sendCommand } from './commands/send-command.ts'
import { StoreFeed } from './store-feed.ts'
import { SummaryLog } from './summary-log.ts'
import type { LeaderState } from './summary-log.ts'
import { TargetSession } from './commands/target-session.ts'
import { TickWatch } from './tick-watch.ts'
import { Witnesses } from './leadership/witnesses.ts'

const TICK_INTERVAL_MS = 50

/** Runs the work of a cell's leader: the scheduler, a session for each target, the commits and the advice requests. */
export class Controller {
  private readonly scheduler: CellScheduler
  private readonly witnesses: Witnesses
  private readonly permission: CommandPermission
  private readonly relayedCommands: RelayedCommands
  private readonly commands: CommandClient
  private readonly committer: Committer
  private readonly adviceDispatcher: AdviceDispatcher
  private readonly sessions = new Map<string, TargetSession>()
  private readonly peers = RecentPeers.create()
  private readonly storeFeed: StoreFeed
  private readonly earlierLeaders: EarlierLeaders
  private readonly lateJobs: LateJobs
  private readonly jobLoader: JobLoader
  private readonly summaryLog: SummaryLog
  private readonly commandLoad = CommandLoad.create()
  private readonly passes = SchedulingPasses.create(() => this.runPass())
  private readonly tickWatch = TickWatch.create(performance.now())
  private previousTargets: readonly string[] = []
  private timer: NodeJS.Timeout | undefined
  private commitWaiters: Array<() => void> = []
  private stopped = false
  private restored = false
  private targetsRead = false
  /** Number of channels that the scheduler knows of. */
  private reportedChannels = 0

  private constructor (private readonly options: ControllerOptions) {
    this.scheduler = CellScheduler.create({ firstRunNumber: computeFirstRun(options.term.term), leaseMs: options.leaseMs, longestLeaseMs: options.longestLeaseMs, areCommandsBound: true, wallClockOffsetMs: Date.now() - performance.now(), ...options.jobMemory !== undefined && { jobMemory: options.jobMemory }, ...options.features !== undefined && { features: options.features } })
    this.witnesses = Witnesses.create({ ...options, term: options.term.term, claimed: options.term.witnesses, getPeers: () => this.members, onChosen: () => this.committer.storeRecord() })
    this.permission = CommandPermission.create({ isLeaseConfirmed: options.isLeaseConfirmed, isTermConfirmed: () => this.witnesses.permitCommands(), reporter: options.reporter })
    this.relayedCommands = RelayedCommands.create({
      direct: options.commands,
      open: options.openRelayStream,
      reporter: options.reporter,
      getFailureDomain: (target) => this.scheduler.getTarget(target)?.entry.failureDomain
    })
    // The member may win a later term while commands of this one wait for their targets.
    this.commands = PermittedCommands.create(this.relayedCommands, () => !this.stopped && this.permission.isGranted())
    const { reporter } = options
    this.earlierLeaders = EarlierLeaders.create({ ...options, isStopped: () => this.stopped })
    this.lateJobs = LateJobs.create({
      store: options.store,
      reporter,
      mayBeAcceptedElsewhere: () => this.earlierLeaders.mayAcceptJobs,
      isSettled: () => !this.scheduler.earlierRunsExpected,
      isLeaseConfirmed: options.isLeaseConfirmed,
      jobMemory: options.jobMemory,
      isKnownJob: (id) => this.scheduler.getPhase(id) !== undefined,
      onRead: (events) => events.forEach((event) => this.applyEvent(event)),
      isStopped: () => this.stopped
    })
    this.jobLoader = JobLoader.create({ store: options.store, reporter, applyEvent: (event) => this.applyEvent(event), isStopped: () => this.stopped })
    this.summaryLog = SummaryLog.create(reporter)
    this.committer = Committer.create({
      store: options.store,
      term: options.term.term,
      commitVersion: options.term.commitVersion,
      self: options.self,
      reporter: options.reporter,
      getUnsettledTerms: () => this.scheduler.earlierRunsExpected ? this.earlierLeaders.unsettled : [],
      getWitnesses: () => this.witnesses.toStore,
      getProgress: (job) => this.scheduler.getProgress(job),
      needsDefinition: (job) => this.scheduler.needsDefinition(job),
      getProcessedCompletions: () => this.scheduler.getProcessedCompletions(),
      getLastRun: () => this.scheduler.lastRunNumber,
      onStored: ({ phases, released, completions, targets, unbound, witnesses, silentTargets }) => {
        this.witnesses.recordStored(witnesses)
        this.applyEvent({ type: 'progress-stored', phases, released, completions })
        if (targets !== undefined) this.applyEvent({ type: 'targets-stored', ids: targets, unbound })
        if (silentTargets !== undefined) this.applyEvent({ type: 'silent-targets-stored', ids: silentTargets })
        for (const waiter of this.commitWaiters.splice(0)) waiter()
      },
      claimedTerms: options.term.unsettled,
      claimedSilentTargets: Object.keys(options.term.silentTargets ?? {}),
      onSilentTargetsRefused: (ids) => this.applyEvent({ type: 'silent-targets-stored', ids }),
      onFenced: () => options.onFenced('another leader has written to the store')
    })
    this.adviceDispatcher = AdviceDispatcher.create({
      onResponse: (request, response) => {
        if (response.type === 'failed') options.reporter.count('advice-failed', response.reason)
        this.applyEvent({ type: 'advised', step: request.step, requestedTargets: request.targets, response })
      }
    })
    this.storeFeed = StoreFeed.create({
      store: options.store,
      reporter: options.reporter,
      targetPrefix: options.targetPrefix,
      parseTarget: options.parseTarget,
      applyEvent: (event) => this.applyEvent(event),
      jobMemory: options.jobMemory,
      isKnownJob: (job) => this.scheduler.getPhase(job) !== undefined,
      mayAcceptJobs: () => this.mayAcceptJobs,
      onTargetsRead: () => this.handleTargetsRead()
    })
    this.addAdviceChannel(options.self)
  }

  /**
   * Starts a term: restores the state from the store and the targets, then schedules.
   *
   * @example
   * const controller = Controller.create({ store, term, commands, advisor, self, reporter, ... })
   */
  static create (options: ControllerOptions): Controller {
    const controller = new Controller(options)
    controller.beginTerm().catch((error: unknown) => options.reporter.log('error', 'restore-failed', { detail: String(error) }))
    return controller
  }

  /** Gets the phase of a job; `unknown` until the state has been restored. */
  getPhase (id: string): JobPhase | 'unknown' | undefined {
    return this.restored ? this.scheduler.getPhase(id) : 'unknown'
  }

  /** Number of waiting jobs by queue; undefined until the state has been restored. */
  get waitingByQueue (): Readonly<Record<string, number>> | undefined {
    return this.restored ? this.scheduler.countQueuedJobsByQueue() : undefined
  }

  /** Long waits for advice, for which members refuse jobs. */
  get overloads (): readonly Overload[] {
    return this.scheduler.overloads
  }

  /** Long waits for room, for which members refuse jobs. */
  get forecasts (): readonly CompletionForecast[] {
    return this.scheduler.forecasts
  }

  /** What the organisations have used, as the leader knows it. */
  get pastUse (): readonly AccountEntry[] {
    return this.scheduler.pastUse
  }

  /** Whether no further large job should be accepted, because those that have not ended fill the memory. */
  get isFull (): boolean {
    return this.scheduler.isFull
  }

  /** Whether no further job should be accepted, however small. */
  get isFullForAll (): boolean {
    return this.scheduler.isFullForAll
  }

  /** Memory that each member may fill with large jobs until its next hello, in bytes; undefined until the state has been restored. */
  get largeJobBytes (): number | undefined {
    return this.restored ? Math.floor(this.scheduler.roomBytes / (this.members.length + 1)) : undefined
  }

  /** The other members that have sent a hello recently. */
  get members (): readonly Peer[] {
    return this.peers.list
  }

  /** Some of the other members, beginning at a random one. */
  sampleMembers (count: number): readonly Peer[] {
    return this.peers.sample(count)
  }

  /** Records the hello of a member and uses the member as an advice channel. */
  recordPeer (peer: Peer): void {
    if (this.peers.record(peer)) this.addAdviceChannel(peer)
  }

  configure (configuration: CellConfiguration): void {
    this.applyEvent({ type: 'configured', configuration })
  }

  setDomainsOut (domains: readonly string[]): void {
    this.applyEvent({ type: 'domains-out', domains })
  }

  /**
   * Accepts a job that a member has stored. Returns false before the state is restored and while another member may
   * lead or have accepted the job; in the latter case that member starts the job.
   */
  acceptJob (definition: JobDefinition): boolean {
    if (!this.restored || !this.mayAcceptJobs) return false
    this.applyEvent({ type: 'job-accepted', definition })
    return true
  }

  /**
   * Cancels a job whose cancellation a member has stored. Returns false before the state is restored, when the job may
   * be unknown.
   */
  cancelJob (id: string): boolean {
    this.applyEvent({ type: 'job-cancelled', id })
    return this.restored
  }

  stop (): void {
    this.stopped = true
    clearInterval(this.timer)
    this.committer.stop()
    this.adviceDispatcher.stop()
    this.storeFeed.stop()
    for (const session of this.sessions.values()) session.stop()
    this.relayedCommands.close()
  }

  /** Whether no other member can have accepted a job that is not known here. */
  private get mayAcceptJobs (): boolean {
    return this.options.isLeaseConfirmed() && this.lateJobs.areKnown
  }

  private addAdviceChannel (peer: Peer): void {
    this.adviceDispatcher.addChannel(createAdviceChannel(this.options, peer))
    this.reportChannels()
    if (this.targetsRead) this.importCachedAdvice(peer)
  }

  /** A channel that has just failed may belong to a member that has left; work must not be planned for it. */
  private reportChannels (): void {
    const { usableCount } = this.adviceDispatcher
    if (usableCount === this.reportedChannels) return
    this.reportedChannels = usableCount
    this.applyEvent({ type: 'advice-channels', channels: usableCount })
  }

  /**
   * Imports the advisor responses that a member has received for a previous leader. The jobs and targets must be known
   * already.
   */
  private importCachedAdvice (peer: Peer): void {
    const { requestCachedAdvice, reporter } = this.options
    requestCachedAdvice(peer).then((advice) => {
      if (advice.length > 0) this.applyEvent({ type: 'advice-known', advice })
    }, (error: unknown) => reporter.log('error', 'advice-not-recalled', { member: peer.member, detail: String(error) }))
  }

  private handleTargetsRead (): void {
    if (this.targetsRead) return
    this.targetsRead = true
    this.updateRelays()
    for (const peer of [this.options.self, ...this.members]) this.importCachedAdvice(peer)
  }

  private async beginTerm (): Promise<void> {
    this.scheduler.expectEarlierRuns()
    this.applyEvent({ type: 'silent-targets-restored', targets: this.options.term.silentTargets ?? {} })
    this.timer = setInterval(() => this.tick(), TICK_INTERVAL_MS)
    this.earlierLeaders.stop().catch((error: unknown) => this.options.reporter.log('error', 'earlier-leaders-not-asked', { detail: String(error) }))
    const version = await restoreState({ ...this.options, isStopped: () => this.stopped, onRead: (state) => this.takeOver(state) })
    // The term may have ended while the store was read; its feed would be stopped by nobody.
    if (version === undefined || this.stopped) return
    this.storeFeed.start()
    this.restored = true
    await this.lateJobs.read()
  }

  private takeOver ({ targets, events }: StoredState): void {
    this.previousTargets = targets
    for (const event of events) this.applyEvent(event)
  }

  private tick (): void {
    this.witnesses.update()
    this.permission.isGranted()
    this.summaryLog.writeIfDue(() => this.readState())
    for (const member of this.peers.removeSilent()) this.adviceDispatcher.removeChannel(member)
    this.reportChannels()
    this.updateRelays()
    this.checkRunsOfEarlierTerms()
    this.storeFeed.acceptWaitingJobs()
    const earlierCommandsEndAt = this.restored && this.targetsRead ? this.earlierLeaders.lastCommandsEndAt : undefined
    this.applyEvent({ type: 'tick', aloneUntil: this.options.getAloneUntil(), late: this.tickWatch.isLate(performance.now()), earlierCommandsEndAt })
  }

  private updateRelays (): void {
    this.relayedCommands.update(this.members, this.scheduler.countTargetsByDomain())
  }

  private readState (): LeaderState {
    const { scheduler, adviceDispatcher } = this
    return { cell: scheduler.summary, passWork: scheduler.takePassWork(), commands: this.commandLoad.take(), detours: this.relayedCommands.detourCount, members: this.members.length + 1, adviceDispatcher }
  }

  /**
   * Lets restored tasks start once all targets of previous leaders are listed or the leases of their runs have expired. Until then
   * the next leader is told how much of the wait is over.
   */
  private checkRunsOfEarlierTerms (): void {
    const { scheduler } = this
    if (!this.restored || !scheduler.earlierRunsExpected) return
    const aloneUntil = this.options.getAloneUntil()
    const event = scheduler.awaitsDeferredJobs
      ? undefined
      : findEarlierRunsEvent({
        lapsed: this.earlierLeaders.haveRunsLapsedBy(aloneUntil, scheduler.longestEarlierLeaseMs),
        listed: scheduler.allTargetsListed && this.previousTargets.every((id) => scheduler.getTarget(id)?.listed === true),
        unsettled: this.targetsRead ? scheduler.findUnsettledTargets(aloneUntil) : undefined
      })
    if (event === undefined) this.committer.renewRecord()
    else this.applyEvent(event)
  }

  private applyEvent (event: CellEvent): void {
    if (this.stopped) return
    this.executeEffects(this.scheduler.apply(event, performance.now()))
    this.passes.schedule()
  }

  /** Returns the time that the pass took, in milliseconds. */
  private runPass (): number {
    if (this.stopped) return 0
    const startedAt = performance.now()
    this.executeEffects(this.scheduler.startTasks(startedAt))
    const durationMs = performance.now() - startedAt
    this.summaryLog.recordPass(durationMs)
    return durationMs
  }

  private executeEffects (effects: readonly CellEffect[]): void {
    for (const effect of effects) this.executeEffect(effect)
  }

  private executeEffect (effect: CellEffect): void {
    const { commands } = this
    const { reporter, term } = this.options
    switch (effect.type) {
      case 'start':
      case 'stop': return this.applyResponse(sendCommand(commands, term.term, effect), (response) => ({ type: `${effect.type}-answered`, target: effect.target, incarnation: effect.incarnation, series: effect.series, task: effect.command.task, run: effect.command.run, response }))
      case 'throttle':
        sendCommand(commands, term.term, effect).then((response) => reporter.count('pace', response.type), (error: unknown) => reporter.log('error', 'pace-failed', { detail: String(error) }))
        return
      case 'request-advice': return this.adviceDispatcher.enqueue(effect)
      case 'store-progress': return this.committer.storeProgress(effect.job)
      case 'load-job': return this.jobLoader.load(effect.job)
      case 'forget-job': return this.committer.removeProgress(effect.job)
      case 'store-targets': return this.committer.storeTargets({ ids: effect.ids, closed: effect.closed, incarnations: effect.incarnations, ...effect.unbound !== undefined && { unbound: effect.unbound } })
      case 'store-silent-targets': return this.committer.storeSilentTargets(effect.targets)
      case 'store-settings': return this.committer.storeSettings(effect.record)
      case 'store-learned': return this.committer.storeLearned(effect.record, effect.value)
      case 'watch-target':
        // Many targets may be read at once. The relays are chosen when all of them are known.
        setImmediate(() => this.startSession(effect.id))
        return
      case 'forget-target': return this.removeSession(effect.id)
      case 'fenced': return this.options.onFenced(`target ${effect.target} has seen a newer term`)
      case 'log': return reporter.log(effect.level, effect.message, effect.fields)
      case 'count':
        if (effect.counter === RESENT_COUNTER) this.commandLoad.recordResent()
        return reporter.count(effect.counter, effect.reason)
      default: return assertNever(effect)
    }
  }

  private applyResponse (pendingResponse: Promise<CommandResponse>, createEvent: (response: CommandResponse) => CellEvent): void {
    this.commandLoad.recordSent()
    pendingResponse.then((response) => {
      this.commandLoad.recordResponse(response)
      this.applyEvent(createEvent(response))
    }, (error: unknown) => this.options.reporter.log('error', 'order-failed', { detail: String(error) }))
  }

  private startSession (id: string): void {
    if (this.stopped || this.scheduler.getTarget(id) === undefined) return
    this.sessions.get(id)?.stop()
    this.sessions.set(id, TargetSession.create({
      id,
      commands: completeListings(this.commands, (listing) => this.needDeferredJobs(listing) || this.lateJobs.mayBecomeKnown(listing)),
      term: this.options.term.term,
      leaseMs: this.options.leaseMs,
      reporter: this.options.reporter,
      getTarget: () => this.scheduler.getTarget(id),
      applyEvent: (event) => this.applyEvent(event),
      isCommanded: () => !this.scheduler.isPromisedSilent(id),
      mayReachNext: () => this.scheduler.mayReachNext(id),
      waitForCommit: () => new Promise((resolve) => this.commitWaiters.push(resolve)),
      canSendCommands: () => this.permission.isGranted()
    }))
  }

  /** Reads the deferred jobs that a listing names; returns whether there are any, so that it cannot be handled yet. */
  private needDeferredJobs (listing: TargetListing): boolean {
    const ids = this.stopped ? [] : this.scheduler.findDeferredJobs(listing)
    if (ids.length > 0) this.applyEvent({ type: 'deferred-jobs-listed', ids })
    return ids.length > 0
  }

  private removeSession (id: string): void {
    this.sessions.get(id)?.stop()
    this.sessions.delete(id)
  }
}
