import type { AdviceResponse, Advisor, CachedAdvice, CommandClient } from '../ports/command-client.ts'
import type { Store, StoreEntry } from '../ports/store.ts'
import { assertNever } from '../util/assert-never.ts'
import type { CellConfiguration } from '../workflow/cell-configuration.ts'
import { CellScheduler } from '../workflow/cell-scheduler.ts'
import type { CellEffect } from '../workflow/effect.ts'
import type { CellEvent } from '../workflow/event.ts'
import type { JobDefinition, JobPhase } from '../workflow/job.ts'
import type { JobProgress } from '../workflow/progress-record.ts'
import type { TargetEntry } from '../workflow/target-entry.ts'
import { AdviceDispatcher } from './advice-dispatcher.ts'
import { Committer } from './committer.ts'
import { delay } from './delay.ts'
import { UNCONFIRMED_MS } from './leadership.ts'
import type { Term } from './leadership.ts'
import type { Peer } from './member-call.ts'
import type { Reporter } from './reporter.ts'
import { readAll } from './store-calls.ts'
import { CANCEL_SUFFIX, JOB_PREFIX, PROGRESS_PREFIX, TARGETS_KEY, idOfCancelKey } from './store-keys.ts'
import type { TargetsRecord } from './store-keys.ts'
import { StoreFeed } from './store-feed.ts'
import { parseRecord } from './stored-record.ts'
import { TargetSession } from './target-session.ts'

const TICK_MS = 50
const SUMMARY_INTERVAL_MS = 2_000
/** Run numbers of one term; far more than a term starts. */
const RUNS_PER_TERM = 1_000_000
const RESTORE_RETRY_MS = 200
const PREDECESSOR_RETRY_MS = 300
/** A member that has not said hello for this time gets no questions for advice. */
const PEER_TIMEOUT_MS = 5_000
/** A loop that is late by more than this may have been suspended, in milliseconds. */
const SUSPENSION_MS = 700
/** Rest after a pass, as a multiple of its duration: passes take at most a fifth of the processor. */
const PASS_REST_FACTOR = 4
/** A target's clock may be slower than ours by this part. */
const LEASE_ALLOWANCE = 1.03

export type ControllerOptions = {
  readonly store: Store
  readonly term: Term
  readonly commands: CommandClient
  readonly advisor: Advisor
  readonly self: Peer
  readonly report: Reporter
  readonly leaseMs: number
  /** Prefix of the keys under which targets publish themselves, and the reader of their values. */
  readonly targetPrefix: string
  readonly readTarget: (key: string, value: string) => TargetEntry | undefined
  readonly askPeer: (peer: Peer, step: string, targets: readonly string[], timeoutMs: number) => Promise<AdviceResponse>
  /** What a member has learned from the advisor for an earlier leader. */
  readonly askKnownAdvice: (peer: Peer) => Promise<readonly CachedAdvice[]>
  /** For how long a member has led no earlier term, in milliseconds; undefined without an answer. */
  readonly standDown: (peer: Peer, term: number) => Promise<number | undefined>
  /** For how long this process had led no term before this one, in milliseconds. */
  readonly quietForMs: () => number
  /** Whether the lease was confirmed so recently that no other member can lead. */
  readonly confirmed: () => boolean
  readonly onFenced: (reason: string) => void
}

/** What the leader of a cell runs: the scheduler, a session for each target, the commits and the questions for advice. */
export class Controller {
  private readonly cell: CellScheduler
  private readonly committer: Committer
  private readonly adviceDispatcher: AdviceDispatcher
  private readonly sessions = new Map<string, TargetSession>()
  private readonly peers = new Map<string, { readonly peer: Peer, seenAt: number }>()
  private readonly feed: StoreFeed
  private earlierTargets: readonly string[] = []
  private timer: NodeJS.Timeout | undefined
  private commitWaiters: Array<() => void> = []
  private startQueued = false
  private stopped = false
  private restored = false
  private targetsRead = false
  private lastTickAt = Date.now()
  private suspendedUntilConfirmed = false
  private summarizedAt = 0
  /** No pass starts before this time, on the steady clock. */
  private nextPassAt = 0
  /** When the earlier leader has certainly sent its last order. */
  private ordersEndedAt = performance.now() + UNCONFIRMED_MS

  private constructor (private readonly options: ControllerOptions) {
    this.cell = CellScheduler.create({ firstRunNumber: (options.term.term - 1) * RUNS_PER_TERM + 1, leaseMs: options.leaseMs, wallClockOffsetMs: Date.now() - performance.now() })
    this.committer = Committer.create({
      store: options.store,
      term: options.term.term,
      commitVersion: options.term.commitVersion,
      self: options.self,
      report: options.report,
      progressOf: (job) => this.cell.getProgress(job),
      needsDefinition: (job) => this.cell.needsDefinition(job),
      processedEnds: () => this.cell.getProcessedCompletions(),
      onStored: ({ phases, released, ends, targets }) => {
        this.apply({ type: 'progress-stored', phases, released, completions: ends })
        if (targets !== undefined) this.apply({ type: 'targets-stored', ids: targets })
        for (const waiter of this.commitWaiters.splice(0)) waiter()
      },
      onFenced: () => options.onFenced('another leader has written to the store')
    })
    this.adviceDispatcher = AdviceDispatcher.create({
      onAnswer: (request, answer) => {
        if (answer.type === 'failed') options.report.count('advice-failed', answer.reason)
        this.apply({ type: 'advised', step: request.step, requestedTargets: request.targets, response: answer })
      }
    })
    this.feed = StoreFeed.create({
      store: options.store,
      report: options.report,
      targetPrefix: options.targetPrefix,
      readTarget: options.readTarget,
      apply: (event) => this.apply(event),
      isKnown: (job) => this.cell.getPhase(job) !== undefined,
      onTargetsRead: () => this.targetsKnown()
    })
    this.addLane(options.self)
  }

  /**
   * Begins a term: restores what the store and the targets know, then schedules.
   *
   * @example
   * const controller = Controller.create({ store, term, orders, advisor, self, report, ... })
   */
  static create (options: ControllerOptions): Controller {
    const controller = new Controller(options)
    controller.begin().catch((error: unknown) => options.report.log('error', 'restore-failed', { detail: String(error) }))
    return controller
  }

  /** Phase of a job; `unknown` until everything has been restored. */
  phaseOf (id: string): JobPhase | 'unknown' | undefined {
    return this.restored ? this.cell.getPhase(id) : 'unknown'
  }

  /** Waiting jobs by queue; undefined until everything has been restored. */
  get waiting (): Readonly<Record<string, number>> | undefined {
    return this.restored ? this.cell.countQueuedJobsByQueue() : undefined
  }

  get members (): readonly Peer[] {
    return [...this.peers.values()].map(({ peer }) => peer)
  }

  welcome (peer: Peer): void {
    const known = this.peers.get(peer.member)
    this.peers.set(peer.member, { peer, seenAt: performance.now() })
    if (known?.peer.address !== peer.address) this.addLane(peer)
  }

  configure (configuration: CellConfiguration): void {
    this.apply({ type: 'configured', configuration })
  }

  setDomainsOut (domains: readonly string[]): void {
    this.apply({ type: 'domains-out', domains })
  }

  /** A member tells of a job that it has stored. Whether it was taken: while another member may lead, that one starts it. */
  accept (definition: JobDefinition): boolean {
    if (!this.restored || !this.options.confirmed()) return false
    this.apply({ type: 'job-accepted', definition })
    return true
  }

  /** A member tells of a cancelling that it has stored. Whether it was taken: before the store was read, jobs are unknown. */
  cancel (id: string): boolean {
    this.apply({ type: 'job-cancelled', id })
    return this.restored
  }

  stop (): void {
    this.stopped = true
    clearInterval(this.timer)
    this.committer.stop()
    this.adviceDispatcher.stop()
    this.feed.stop()
    for (const session of this.sessions.values()) session.stop()
  }

  private addLane (peer: Peer): void {
    const { self, advisor, askPeer } = this.options
    this.adviceDispatcher.add({
      name: peer.member,
      ask: ({ step, targets, costMs }) => {
        const timeoutMs = costMs * 1.5 + 500
        return peer.member === self.member ? advisor.advise(step, targets, timeoutMs) : askPeer(peer, step, targets, timeoutMs)
      }
    })
    this.apply({ type: 'advice-channels', channels: this.adviceDispatcher.size })
    if (this.targetsRead) this.recallAdvice(peer)
  }

  /** Takes over what a member has learned for the earlier leader; jobs and targets are known by now. */
  private recallAdvice (peer: Peer): void {
    const { askKnownAdvice, report } = this.options
    askKnownAdvice(peer).then((advice) => {
      if (advice.length > 0) this.apply({ type: 'advice-known', advice })
    }, (error: unknown) => report.log('error', 'advice-not-recalled', { member: peer.member, detail: String(error) }))
  }

  private targetsKnown (): void {
    if (this.targetsRead) return
    this.targetsRead = true
    for (const peer of [this.options.self, ...this.members]) this.recallAdvice(peer)
  }

  private async begin (): Promise<void> {
    this.cell.expectEarlierRuns()
    this.timer = setInterval(() => this.tick(), TICK_MS)
    this.settlePredecessor().catch((error: unknown) => this.options.report.log('error', 'predecessor-not-asked', { detail: String(error) }))
    const version = await this.restore()
    if (version === undefined) return
    this.feed.follow()
    this.restored = true
  }

  /** An answer from the address of the earlier leader tells that it has stopped, or that its process has ended. */
  private async settlePredecessor (): Promise<void> {
    const { term, self, standDown, report } = this.options
    const { predecessor } = term
    if (predecessor === undefined) return
    while (!this.stopped && performance.now() < this.ordersEndedAt) {
      const quietForMs = predecessor.address === self.address ? this.options.quietForMs() : await standDown(predecessor, term.term)
      if (quietForMs !== undefined) {
        this.ordersEndedAt = performance.now() - quietForMs
        return report.log('info', 'predecessor-stopped', { member: predecessor.member, term: term.term, quietForMs: Math.round(quietForMs) })
      }
      await delay(PREDECESSOR_RETRY_MS)
    }
  }

  /** Reads jobs, progress and the targets of earlier leaders; tries until it succeeds or the term ends. */
  private async restore (): Promise<number | undefined> {
    const { store, report } = this.options
    const startedAt = performance.now()
    while (!this.stopped) {
      const [jobs, progress, targets] = await Promise.all([readAll(store, JOB_PREFIX), readAll(store, PROGRESS_PREFIX), readAll(store, TARGETS_KEY)])
      if (jobs.isOk() && progress.isOk() && targets.isOk()) {
        this.earlierTargets = targets.value.entries.map(({ value }) => parseRecord<TargetsRecord>(value)).at(0)?.ids ?? []
        this.apply({ type: 'targets-stored', ids: this.earlierTargets })
        this.restoreJobs(jobs.value.entries, progress.value.entries)
        report.log('info', 'jobs-restored', { jobs: jobs.value.entries.length, durationMs: Math.round(performance.now() - startedAt) })
        return jobs.value.version
      }
      await delay(RESTORE_RETRY_MS)
    }
    return undefined
  }

  private restoreJobs (jobs: readonly StoreEntry[], progress: readonly StoreEntry[]): void {
    const stored = new Map(progress.map(({ key, value }) => [key.slice(PROGRESS_PREFIX.length), value]))
    const definitions = jobs.filter(({ key }) => !key.endsWith(CANCEL_SUFFIX)).flatMap((entry) => this.feed.readJob(entry))
    for (const definition of definitions.sort((left, right) => left.submittedAtMs - right.submittedAtMs)) {
      const known = stored.get(definition.id)
      stored.delete(definition.id)
      this.apply({ type: 'job-restored', definition, progress: known === undefined ? undefined : parseRecord<JobProgress>(known) })
    }
    for (const { key } of jobs) {
      if (key.endsWith(CANCEL_SUFFIX)) this.cancel(idOfCancelKey(key))
    }
    for (const [id, value] of stored) {
      const ended = parseRecord<JobProgress>(value)
      if (ended !== undefined) this.apply({ type: 'ended-job-restored', id, phase: ended.phase })
    }
  }

  private tick (): void {
    const now = Date.now()
    const lateMs = Math.abs(now - this.lastTickAt) - TICK_MS
    this.lastTickAt = now
    if (lateMs > SUSPENSION_MS && !this.options.confirmed()) {
      this.suspendedUntilConfirmed = true
      this.options.report.log('warn', 'process-was-suspended', { lateMs })
    }
    if (this.suspendedUntilConfirmed && this.options.confirmed()) this.suspendedUntilConfirmed = false
    if (performance.now() - this.summarizedAt > SUMMARY_INTERVAL_MS) this.summarize()
    this.dropSilentPeers()
    this.checkEarlierRuns()
    this.apply({ type: 'tick' })
  }

  private summarize (): void {
    this.summarizedAt = performance.now()
    this.options.report.log('info', 'cell-summary', { ...this.cell.summary, members: this.peers.size + 1, adviceWaiting: this.adviceDispatcher.waitingCount })
  }

  private dropSilentPeers (): void {
    for (const [member, { seenAt }] of this.peers) {
      if (performance.now() - seenAt < PEER_TIMEOUT_MS) continue
      this.peers.delete(member)
      this.adviceDispatcher.remove(member)
      this.apply({ type: 'advice-channels', channels: this.adviceDispatcher.size })
    }
  }

  /** Once all targets of earlier leaders are listed, or their runs have lapsed, restored tasks may start. */
  private checkEarlierRuns (): void {
    if (!this.restored || !this.cell.earlierRunsExpected) return
    const lapsed = performance.now() > this.ordersEndedAt + this.options.leaseMs * LEASE_ALLOWANCE
    const listed = this.cell.allTargetsListed && this.earlierTargets.every((id) => this.cell.getTarget(id)?.listed === true)
    if (lapsed || listed || !this.options.term.hadPredecessor) this.apply({ type: 'earlier-runs-lapsed' })
  }

  private apply (event: CellEvent): void {
    if (this.stopped) return
    this.run(this.cell.apply(event, performance.now()))
    this.queueStart()
  }

  /** Starts once for all events of one turn of the event loop. */
  private queueStart (): void {
    if (this.startQueued) return
    this.startQueued = true
    const pauseMs = this.nextPassAt - performance.now()
    if (pauseMs > 0) setTimeout(() => this.startPass(), pauseMs)
    else setImmediate(() => this.startPass())
  }

  /** The longer a pass takes, the longer the next one waits, so that calls are answered in between. */
  private startPass (): void {
    this.startQueued = false
    if (this.stopped) return
    const startedAt = performance.now()
    this.run(this.cell.startTasks(startedAt))
    const endedAt = performance.now()
    this.nextPassAt = endedAt + PASS_REST_FACTOR * (endedAt - startedAt)
  }

  private run (effects: readonly CellEffect[]): void {
    for (const effect of effects) this.carryOut(effect)
  }

  private carryOut (effect: CellEffect): void {
    const { commands, report, term } = this.options
    switch (effect.type) {
      case 'start': return this.order(commands.start(effect, { ...effect.command, epoch: term.term }), (answer) => ({ type: 'start-answered', target: effect.target, task: effect.command.task, run: effect.command.run, response: answer }))
      case 'stop': return this.order(commands.stop(effect, { ...effect.command, epoch: term.term }), (answer) => ({ type: 'stop-answered', target: effect.target, task: effect.command.task, run: effect.command.run, response: answer }))
      case 'throttle':
        commands.throttle(effect, { ...effect.command, epoch: term.term }).then((answer) => report.count('pace', answer.type), (error: unknown) => report.log('error', 'pace-failed', { detail: String(error) }))
        return
      case 'request-advice': return this.adviceDispatcher.ask(effect)
      case 'store-progress': return this.committer.storeJob(effect.job)
      case 'forget-job': return this.committer.forgetJob(effect.job)
      case 'store-targets': return this.committer.storeTargets(effect.ids)
      case 'watch-target': return this.watchTarget(effect.id)
      case 'forget-target': return this.forgetTarget(effect.id)
      case 'fenced': return this.options.onFenced(`target ${effect.target} has heard a newer term`)
      case 'log': return report.log(effect.level, effect.message, effect.fields)
      case 'count': return report.count(effect.counter, effect.reason)
      default: return assertNever(effect)
    }
  }

  private order<Answer> (pending: Promise<Answer>, eventOf: (answer: Answer) => CellEvent): void {
    pending.then((answer) => this.apply(eventOf(answer)), (error: unknown) => this.options.report.log('error', 'order-failed', { detail: String(error) }))
  }

  private watchTarget (id: string): void {
    this.sessions.get(id)?.stop()
    this.sessions.set(id, TargetSession.create({
      id,
      commands: this.options.commands,
      epoch: this.options.term.term,
      leaseMs: this.options.leaseMs,
      report: this.options.report,
      target: () => this.cell.getTarget(id),
      apply: (event) => this.apply(event),
      nextCommit: () => new Promise((resolve) => this.commitWaiters.push(resolve)),
      mayOrder: () => !this.suspendedUntilConfirmed
    }))
  }

  private forgetTarget (id: string): void {
    this.sessions.get(id)?.stop()
    this.sessions.delete(id)
  }
}
