import type { WorkerEvent, WorkerIncarnation } from '../platform/standin/worker-server.ts'
import { getStepName } from '../platform/standin/worker-task.ts'
import { Disruptions } from './disruptions.ts'
import { LastingTasks } from './lasting-tasks.ts'
import type { SoakJob, SoakStep } from './soak-jobs.ts'

type WorkerStart = Extract<WorkerEvent, { type: 'started' }>
type WorkerCompletion = Extract<WorkerEvent, { type: 'ended' }>
type WorkerAcknowledgement = Extract<WorkerEvent, { type: 'acknowledged' }>

/** `incarnation`: that of its worker, with the lease at the start of the run. */
type PresentRun = { readonly worker: string, readonly text: string, readonly startedAtMs: number, readonly incarnation: WorkerIncarnation | undefined }

/** What is known of a task, or of a gang: the end of one of its members represents all of them. */
type WorkHistory = {
  /** Starts after the completion of a run that ended as done, by that run and its worker. They are breaches once it is acknowledged. */
  readonly startsAfterDone: Map<string, string[]>
  done: boolean
  doneAcknowledgedAtMs: number | undefined
  /** Time at which the end of a run was acknowledged after the lease of its worker had expired, which does not count as taken note of. */
  lapsedAcknowledgedAtMs: number
  failures: number
}

type TaskHistory = {
  readonly work: WorkHistory
  /** The runs that are present, by their workers and numbers. */
  readonly running: Map<string, PresentRun>
  acknowledgedFailures: number
  lastFailureAcknowledgedAtMs: number
  starts: number
}

/** A task of a submitted job and its step. */
type KnownTask = { readonly id: string, readonly job: SoakJob, readonly step: SoakStep, readonly occurrence: number }

export type RunHistoryOptions = {
  /** The CPU capacity of each worker. */
  readonly capacityCpuMillis: number
  readonly getDomain: (worker: string) => string
  /** Returns the workers that are up, published and not draining, and on which the advisor lets a step run. */
  readonly findWorkers: (stepName: string) => readonly string[]
  /** Returns what a breach tells of the worker of a run. */
  readonly findIncarnation?: (worker: string) => WorkerIncarnation | undefined
}

/** A task that lasts must have a run only while there is room for it this many times. */
const MIN_ROOM = 2
/** Tasks of a cancelled job may still start for this time after the cancellation was acknowledged (`cancel_ms`). */
const CANCEL_GRACE_MS = 3_000
/** Tasks may still start in a failure domain for this time after its evacuation was requested (`evacuateMs`). */
const EVACUATION_GRACE_MS = 5_000
/** An occurrence may start this long before it is due (`early_ms`). */
const EARLY_MS = 250
/** A copy of a task, or a task whose end came after the lease had expired, may start within this time after that end was acknowledged. */
const END_GRACE_MS = 1_000
/** Number of run numbers that belong to each term of a leader. */
const RUNS_PER_TERM = 1_000_000
/** Time without unplanned disruption before a request from which it must be answered in full (`contactMs`). */
const CALM_MS = 3_000
/** A connection may end without an answer within this time after the request was sent (`lossSlackMs`). */
const LOSS_SLACK_MS = 200

/**
 * Checks the guarantees of the platform's rules against the events of workers and the responses to callers. Each breach
 * is a text that starts with the name of the rule.
 */
export class RunHistory {
  private readonly recorded: string[] = []
  private readonly jobs = new Map<string, SoakJob>()
  private readonly tasks = new Map<string, TaskHistory>()
  /** By task, or by gang. */
  private readonly works = new Map<string, WorkHistory>()
  private readonly bookedCpuMillis = new Map<string, number>()
  private readonly refusedJobs = new Set<string>()
  private readonly cancelledAtMs = new Map<string, number>()
  /** Time at which jobs were first shown as completed. */
  private readonly completedAtMs = new Map<string, number>()
  /** Start of the evacuation by failure domain. */
  private readonly evacuatedSinceMs = new Map<string, number>()
  private readonly unplannedDisruptions = Disruptions.create()
  private readonly faults = Disruptions.create()
  private readonly lasting = LastingTasks.create(this.faults, ({ id, step }) => this.countRoom(getStepName(id), step) >= MIN_ROOM)

  private constructor (private readonly options: RunHistoryOptions) {}

  /**
   * Creates a history.
   *
   * @example
   * const history = RunHistory.create({ capacityCpuMillis: 16_000, getDomain: () => 'east', findWorkers: () => ['w1'] })
   * history.recordWorkerEvent('w1', { type: 'started', task: 'a.0.0.0', run: 1 }, performance.now())
   */
  static create (options: RunHistoryOptions): RunHistory {
    return new RunHistory(options)
  }

  get breaches (): readonly string[] {
    return [...this.recorded, ...this.lasting.breaches]
  }

  /** The longest time for which a task that lasts had no run after its first one. */
  get longestGapMs (): number {
    return this.lasting.longestGapMs
  }

  /** Records that the operator evacuates a failure domain, or puts it back into service if `sinceMs` is undefined. */
  recordEvacuation (domain: string, sinceMs: number | undefined): void {
    if (sinceMs === undefined) this.evacuatedSinceMs.delete(domain)
    else this.evacuatedSinceMs.set(domain, sinceMs)
  }

  /** Records that an unplanned disruption begins or, with `ended`, that it is over. */
  recordDisruption (atMs: number, ended: boolean): void {
    this.unplannedDisruptions.record(atMs, ended ? 'ends' : 'begins')
  }

  /** Records that a fault begins or ends, planned work included. */
  recordFault (atMs: number, change: 'begins' | 'ends'): void {
    this.faults.record(atMs, change)
  }

  /** Checks that tasks that last have a run again in time; must be called often. */
  checkLastingTasks (nowMs: number): void {
    this.lasting.check(nowMs)
  }

  /** Records a request whose connection has ended without a complete response. */
  recordBrokenRequest (request: string, sentAtMs: number, endedAtMs: number): void {
    if (this.isCalmSince(sentAtMs) && endedAtMs - sentAtMs > LOSS_SLACK_MS) this.recordBreach('LOST', `${request} ended without an answer after ${Math.round(endedAtMs - sentAtMs)} ms`)
  }

  /** Records a job; must be called before the caller submits it. */
  recordSubmission (job: SoakJob): void {
    this.jobs.set(job.id, job)
  }

  /** Records that the submission of a job was acknowledged. */
  recordAcceptance (id: string): void {
    this.lasting.recordAcceptance(id)
  }

  /** Records that every attempt to submit the job was refused. */
  recordRefusal (id: string): void {
    this.refusedJobs.add(id)
    if (this.findTasks(id).some(({ starts }) => starts > 0)) this.recordBreach('REFUSED', `${id} was refused and has started`)
  }

  recordCancellation (id: string, atMs: number): void {
    this.cancelledAtMs.set(id, atMs)
    this.lasting.recordCancellation(id)
  }

  /** Checks a job state that was returned to a caller. */
  recordState (id: string, state: string, atMs: number): void {
    const job = this.jobs.get(id)
    if (state === 'completed' && job !== undefined) {
      this.completedAtMs.set(id, Math.min(atMs, this.completedAtMs.get(id) ?? Infinity))
      const done = this.countDone(id)
      const total = countTasks(job)
      if (done < total) this.recordBreach('MIXED', `${id} is shown as completed with ${done} of ${total} tasks done`)
    }
    if (state === 'failed' && job !== undefined && !this.findTasks(id).some(({ work }) => work.failures >= job.maxAttempts)) this.recordBreach('LOST', `${id} is shown as failed before its last attempt`)
    if (state === 'absent') this.recordBreach('LOST', `${id} was accepted and is not known`)
    if (state === 'cancelled' && !this.cancelledAtMs.has(id)) this.recordBreach('LOST', `${id} is shown as cancelled, but no caller has cancelled it`)
  }

  /** Whether all tasks of a job have completed with the outcome `done`. */
  isDone (id: string): boolean {
    const job = this.jobs.get(id)
    return job !== undefined && this.countDone(id) === countTasks(job)
  }

  recordWorkerEvent (worker: string, event: WorkerEvent, atMs: number): void {
    switch (event.type) {
      case 'started': return this.recordStart(worker, event, atMs)
      case 'ended': return this.recordCompletion(worker, event, atMs)
      case 'acknowledged': return this.recordAcknowledgement(worker, event, atMs)
      case 'crashed': return this.recordCrash(worker, atMs)
    }
  }

  private recordCrash (worker: string, atMs: number): void {
    this.bookedCpuMillis.set(worker, 0)
    for (const [taskId, { running }] of this.tasks) {
      for (const [name, run] of running) if (run.worker === worker && running.delete(name)) this.recordIdleTask(taskId, run.text, 'died', atMs)
    }
  }

  /** Records the end of a run of a task that lasts, unless it has another one. */
  private recordIdleTask (taskId: string, text: string, how: string, atMs: number): void {
    const known = this.findKnownTask(taskId)
    if (known?.step.longRunning !== true || this.getTask(taskId).running.size > 0) return
    this.lasting.recordEnd({ id: taskId, jobId: known.job.id, step: known.step }, { text, how, endedAtMs: atMs })
  }

  private recordStart (worker: string, event: WorkerStart, atMs: number): void {
    const known = this.findKnownTask(event.task)
    if (known === undefined) return this.recordBreach('UNASKED', `${event.task} does not belong to a submitted job`)
    const { run, lateByMs, foreignCheckpoint } = event
    const text = describeStart(worker, event)
    const task = this.getTask(known.id)
    task.starts += 1
    if (this.refusedJobs.has(known.job.id)) this.recordBreach('REFUSED', `${known.id} starts although its job was refused`)
    if (foreignCheckpoint !== undefined) this.recordBreach('UNASKED', `${known.id} starts with the checkpoint ${foreignCheckpoint} of another task`)
    const started: PresentRun = { worker, text, startedAtMs: atMs, incarnation: this.options.findIncarnation?.(worker) }
    this.checkRepetition(known, task, started, lateByMs !== undefined)
    this.checkOrder(known, text, atMs)
    this.checkAttempts(known, task, text, lateByMs !== undefined, atMs)
    // Bounds of time do not hold for an order that was held up.
    if (lateByMs === undefined) this.checkPermission(known, worker, atMs)
    task.running.set(`${worker}/${run}`, started)
    this.lasting.recordStart(known.id, atMs)
    this.checkSpread(known, worker)
    const bookedCpuMillis = (this.bookedCpuMillis.get(worker) ?? 0) + known.step.cpuMillis
    this.bookedCpuMillis.set(worker, bookedCpuMillis)
    const { capacityCpuMillis } = this.options
    if (bookedCpuMillis > capacityCpuMillis) this.recordBreach('LIMIT', `${known.id} raises the booked CPU of ${worker} to ${bookedCpuMillis} of ${capacityCpuMillis}: ${text}`)
    this.lasting.check(atMs)
  }

  /** Checks that a start does not repeat work that is in progress or done. */
  private checkRepetition (known: KnownTask, { running, work }: TaskHistory, started: PresentRun, isLate: boolean): void {
    const { text, startedAtMs: atMs } = started
    if (known.step.speculative === true) return this.checkLateCopy(known, work, text, isLate, atMs)
    if (running.size > 0) this.recordBreach('TWICE', `${known.id} ${text}${this.describeIncarnation(started, atMs)} starts concurrently with ${[...running.values()].map((present) => `${present.text}${this.describeIncarnation(present, atMs)}, started ${Math.round(atMs - present.startedAtMs)} ms before`).join(', ')}`)
    if (work.done && (work.doneAcknowledgedAtMs !== undefined || this.completedAtMs.has(known.job.id))) this.recordBreach('TWICE', `${known.id} ${text} starts after its completion was acknowledged`)
    else if (!isLate && atMs > work.lapsedAcknowledgedAtMs + END_GRACE_MS) this.recordBreach('TWICE', `${known.id} ${text} starts ${Math.round(atMs - work.lapsedAcknowledgedAtMs)} ms after a completion was acknowledged whose lease had expired`)
    for (const starts of work.startsAfterDone.values()) starts.push(text)
  }

  /** Copies may run at the same time, but none starts in calm time after the completion of another is known. */
  private checkLateCopy (known: KnownTask, work: WorkHistory, text: string, isLate: boolean, atMs: number): void {
    const knownSinceMs = Math.min(work.doneAcknowledgedAtMs ?? Infinity, this.completedAtMs.get(known.job.id) ?? Infinity)
    if (isLate || atMs <= knownSinceMs + END_GRACE_MS || !this.isCalmSince(atMs)) return
    this.recordBreach('TWICE', `${known.id} ${text} starts ${Math.round(atMs - knownSinceMs)} ms after the completion of another copy was acknowledged`)
  }

  /** The incarnation on which a run is present, and its lease when the run started and now. */
  private describeIncarnation ({ worker, startedAtMs, incarnation }: PresentRun, nowMs: number): string {
    if (incarnation === undefined) return ''
    const startedAt = new Date(incarnation.startedAtMs).toISOString()
    const leaseMs = Math.round(incarnation.leaseEndsAtMs - startedAtMs)
    const { leaseEndsAtMs } = this.options.findIncarnation?.(worker) ?? incarnation
    const leftText = nowMs === startedAtMs ? '' : ` and ${Math.round(leaseEndsAtMs - nowMs)} ms left`
    return ` (on the incarnation since ${startedAt}, with a lease of ${leaseMs} ms at its start${leftText})`
  }

  private checkAttempts ({ id, job, step }: KnownTask, { acknowledgedFailures, lastFailureAcknowledgedAtMs }: TaskHistory, text: string, isLate: boolean, atMs: number): void {
    if (step.longRunning === true || acknowledgedFailures < job.maxAttempts) return
    const isAllowedCopy = step.speculative === true && (isLate || atMs <= lastFailureAcknowledgedAtMs + END_GRACE_MS || !this.isCalmSince(atMs))
    if (!isAllowedCopy) this.recordBreach('BUDGET', `${id} ${text} starts after ${acknowledgedFailures} failures`)
  }

  private checkOrder ({ id, job, step, occurrence }: KnownTask, text: string, atMs: number): void {
    if (step.after !== undefined && !this.isStepDone(job, occurrence, step.after)) this.recordBreach('ORDER', `${id} ${text} starts before the preceding step has completed`)
    const earlyMs = job.firstAtMs + occurrence * job.intervalMs - atMs
    if (job.occurrences > 1 && earlyMs > EARLY_MS) this.recordBreach('ORDER', `${id} ${text} starts ${Math.round(earlyMs)} ms before it is due`)
  }

  /** Checks that a start does not come long after a cancellation or an evacuation. */
  private checkPermission ({ id, job }: KnownTask, worker: string, atMs: number): void {
    const cancelledAtMs = this.cancelledAtMs.get(job.id)
    if (cancelledAtMs !== undefined && atMs > cancelledAtMs + CANCEL_GRACE_MS) this.recordBreach('UNASKED', `${id} starts ${Math.round(atMs - cancelledAtMs)} ms after its cancellation was acknowledged`)
    const evacuatedSinceMs = this.evacuatedSinceMs.get(this.options.getDomain(worker))
    if (evacuatedSinceMs !== undefined && atMs > evacuatedSinceMs + EVACUATION_GRACE_MS) this.recordBreach('EVAC', `${id} starts on ${worker} ${Math.round(atMs - evacuatedSinceMs)} ms after the evacuation of its failure domain`)
  }

  private checkSpread ({ id, step }: KnownTask, worker: string): void {
    if (step.perTargetLimit === undefined) return
    const count = this.countOnWorker(getStepName(id), step, worker)
    if (count > step.perTargetLimit) this.recordBreach('ROUTE', `${id} is one of ${count} tasks of its step on ${worker}, where ${step.perTargetLimit} may run`)
  }

  /** Number of tasks of a step that run on a worker. */
  private countOnWorker (stepName: string, { count }: SoakStep, worker: string): number {
    const tasks = Array.from({ length: count }, (_, index) => this.tasks.get(`${stepName}.${index}`))
    return tasks.filter((task) => task !== undefined && [...task.running.values()].some((run) => run.worker === worker)).length
  }

  /** Number of further tasks of a step that the workers could run. */
  private countRoom (stepName: string, step: SoakStep): number {
    const { capacityCpuMillis, findWorkers, getDomain } = this.options
    const rooms = findWorkers(stepName).filter((worker) => !this.evacuatedSinceMs.has(getDomain(worker))).map((worker) => {
      const fitting = Math.floor((capacityCpuMillis - (this.bookedCpuMillis.get(worker) ?? 0)) / step.cpuMillis)
      const permitted = step.perTargetLimit === undefined ? fitting : step.perTargetLimit - this.countOnWorker(stepName, step, worker)
      return Math.max(0, Math.min(fitting, permitted))
    })
    return rooms.reduce((sum, room) => sum + room, 0)
  }

  private recordCompletion (worker: string, { task: taskId, run, outcome }: WorkerCompletion, atMs: number): void {
    const { running, work } = this.getTask(taskId)
    if (!running.delete(`${worker}/${run}`)) return
    this.recordIdleTask(taskId, describeRun(worker, run), outcome, atMs)
    this.bookedCpuMillis.set(worker, (this.bookedCpuMillis.get(worker) ?? 0) - (this.findKnownTask(taskId)?.step.cpuMillis ?? 0))
    if (outcome === 'done') {
      work.done = true
      work.startsAfterDone.set(describeRun(worker, run), [])
    }
    if (outcome === 'failed') work.failures += 1
  }

  private recordAcknowledgement (worker: string, { task: taskId, run, outcome, leaseLapsed }: WorkerAcknowledgement, atMs: number): void {
    const task = this.getTask(taskId)
    if (outcome === 'failed') {
      task.acknowledgedFailures += 1
      task.lastFailureAcknowledgedAtMs = atMs
    }
    if (outcome !== 'done') return
    const { work } = task
    if (leaseLapsed) work.lapsedAcknowledgedAtMs = Math.min(atMs, work.lapsedAcknowledgedAtMs)
    else work.doneAcknowledgedAtMs ??= atMs
    const completed = describeRun(worker, run)
    const starts = work.startsAfterDone.get(completed) ?? []
    work.startsAfterDone.delete(completed)
    if (starts.length > 0 && !leaseLapsed) this.recordBreach('TWICE', `${taskId} has started (${starts.join(', ')}) after ${completed} was done, which has been acknowledged since`)
  }

  private isStepDone (job: SoakJob, occurrence: number, step: number): boolean {
    return Array.from({ length: job.steps[step]!.count }, (_, index) => this.getTask(`${job.id}.${occurrence}.${step}.${index}`)).every(({ work }) => work.done)
  }

  private isCalmSince (sentAtMs: number): boolean {
    return this.unplannedDisruptions.isCalmSince(sentAtMs - CALM_MS)
  }

  private findKnownTask (id: string): KnownTask | undefined {
    const [jobId, occurrence, step, index] = id.split('.')
    const job = this.jobs.get(jobId!)
    const knownStep = job?.steps[Number(step)]
    if (job === undefined || knownStep === undefined || Number(index) >= knownStep.count || Number(occurrence) >= job.occurrences) return undefined
    return { id, job, step: knownStep, occurrence: Number(occurrence) }
  }

  private getTask (taskId: string): TaskHistory {
    const existing = this.tasks.get(taskId)
    if (existing !== undefined) return existing
    const task: TaskHistory = { work: this.getWork(taskId), running: new Map(), acknowledgedFailures: 0, lastFailureAcknowledgedAtMs: -Infinity, starts: 0 }
    this.tasks.set(taskId, task)
    return task
  }

  private getWork (taskId: string): WorkHistory {
    const name = this.findKnownTask(taskId)?.step.gang === true ? getStepName(taskId) : taskId
    const existing = this.works.get(name)
    if (existing !== undefined) return existing
    const work: WorkHistory = { startsAfterDone: new Map(), done: false, doneAcknowledgedAtMs: undefined, lapsedAcknowledgedAtMs: Infinity, failures: 0 }
    this.works.set(name, work)
    return work
  }

  private findTasks (id: string): readonly TaskHistory[] {
    return [...this.tasks].filter(([taskId]) => taskId.startsWith(`${id}.`)).map(([, task]) => task)
  }

  private countDone (id: string): number {
    return this.findTasks(id).filter(({ work }) => work.done).length
  }

  private recordBreach (rule: string, detail: string): void {
    this.recorded.push(`${rule}: ${detail} (${new Date().toISOString()})`)
  }
}

function countTasks ({ steps, occurrences }: SoakJob): number {
  return occurrences * steps.reduce((sum, { count }) => sum + count, 0)
}

function describeRun (worker: string, run: number): string {
  return `run ${run} of term ${Math.ceil(run / RUNS_PER_TERM)} on ${worker}`
}

function describeStart (worker: string, { run, lateByMs }: WorkerStart): string {
  return describeRun(worker, run) + (lateByMs === undefined ? '' : `, whose order was held up for ${lateByMs} ms`)
}
