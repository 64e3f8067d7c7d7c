import type { WorkerEvent } from '../platform/standin/worker-server.ts'

/** The properties of a submitted job that the checks need. `counts` are the tasks of each step; step 1 starts after step 0. */
export type SoakJob = { readonly id: string, readonly counts: readonly number[], readonly cpuMillis: number, readonly maxAttempts: number }

type WorkerCompletion = Extract<WorkerEvent, { type: 'ended' }>
type WorkerAcknowledgement = Extract<WorkerEvent, { type: 'acknowledged' }>

type PresentRun = { readonly run: number, readonly startedAtMs: number }

type TaskHistory = {
  /** The runs that are present, by their workers. */
  readonly running: Map<string, PresentRun>
  /** Starts after the completion of a run that ended as done, by that run and its worker. They are breaches once it is acknowledged. */
  readonly startsAfterDone: Map<string, string[]>
  done: boolean
  failures: number
  doneAcknowledged: boolean
  acknowledgedFailures: number
  starts: number
}

/** Tasks of a cancelled job may still start for this time after the cancellation was acknowledged (`cancel_ms`). */
const CANCEL_GRACE_MS = 3_000
/** Tasks may still start in a failure domain for this time after its evacuation was requested (`evacuateMs`). */
const EVACUATION_GRACE_MS = 5_000
/** Time without unplanned disruption before a request from which it must be answered in full (`contactMs`). */
const CALM_MS = 3_000
/** A connection may end without an answer within this time after the request was sent (`lossSlackMs`). */
const LOSS_SLACK_MS = 200

/**
 * Checks the guarantees of the platform's rules against the events of workers and the responses to callers. Each breach
 * is a text that starts with the name of the rule.
 */
export class RunHistory {
  readonly breaches: string[] = []
  private readonly jobs = new Map<string, SoakJob>()
  private readonly tasks = new Map<string, TaskHistory>()
  private readonly bookedCpuMillis = new Map<string, number>()
  private readonly refusedJobs = new Set<string>()
  private readonly cancelledAtMs = new Map<string, number>()
  private readonly completedJobs = new Set<string>()
  /** Start of the evacuation by failure domain. */
  private readonly evacuatedSinceMs = new Map<string, number>()
  private currentDisruptions = 0
  private lastDisruptionEndMs = -Infinity

  private constructor (private readonly capacityCpuMillis: number, private readonly getDomain: (worker: string) => string) {}

  /**
   * Creates a history for workers that all have the same CPU capacity.
   *
   * @example
   * const history = RunHistory.create(16_000, () => 'east')
   * history.recordWorkerEvent('w1', { type: 'started', task: 'a.0.0.0', run: 1 }, performance.now())
   */
  static create (capacityCpuMillis: number, getDomain: (worker: string) => string): RunHistory {
    return new RunHistory(capacityCpuMillis, getDomain)
  }

  /** Records that the operator evacuates a failure domain, or puts it back into service if `sinceMs` is undefined. */
  recordEvacuation (domain: string, sinceMs: number | undefined): void {
    if (sinceMs === undefined) this.evacuatedSinceMs.delete(domain)
    else this.evacuatedSinceMs.set(domain, sinceMs)
  }

  /** Records that an unplanned disruption begins or, with `ended`, that it is over. */
  recordDisruption (atMs: number, ended: boolean): void {
    this.currentDisruptions += ended ? -1 : 1
    this.lastDisruptionEndMs = atMs
  }

  /** Records a request whose connection has ended without a complete response. */
  recordBrokenRequest (request: string, sentAtMs: number, endedAtMs: number): void {
    const isCalm = this.currentDisruptions === 0 && this.lastDisruptionEndMs < sentAtMs - CALM_MS
    if (isCalm && endedAtMs - sentAtMs > LOSS_SLACK_MS) this.recordBreach('LOST', `${request} ended without an answer after ${Math.round(endedAtMs - sentAtMs)} ms`)
  }

  /** Records a job; must be called before the caller submits it. */
  recordSubmission (job: SoakJob): void {
    this.jobs.set(job.id, job)
  }

  /** Records that every attempt to submit the job was refused. */
  recordRefusal (id: string): void {
    this.refusedJobs.add(id)
    if (this.findTasks(id).some(({ starts }) => starts > 0)) this.recordBreach('REFUSED', `${id} was refused and has started`)
  }

  recordCancellation (id: string, atMs: number): void {
    this.cancelledAtMs.set(id, atMs)
  }

  /** Checks a job state that was returned to a caller. */
  recordState (id: string, state: string): void {
    const job = this.jobs.get(id)
    if (state === 'completed' && job !== undefined) {
      this.completedJobs.add(id)
      const done = this.findTasks(id).filter((task) => task.done).length
      const total = job.counts.reduce((sum, count) => sum + count, 0)
      if (done < total) this.recordBreach('MIXED', `${id} is shown as completed with ${done} of ${total} tasks done`)
    }
    if (state === 'failed' && job !== undefined && !this.findTasks(id).some(({ failures }) => failures >= job.maxAttempts)) this.recordBreach('LOST', `${id} is shown as failed before its last attempt`)
    if (state === 'absent') this.recordBreach('LOST', `${id} was accepted and is not known`)
    if (state === 'cancelled' && !this.cancelledAtMs.has(id)) this.recordBreach('LOST', `${id} is shown as cancelled, but no caller has cancelled it`)
  }

  /** Whether all tasks of a job have completed with the outcome `done`. */
  isDone (id: string): boolean {
    const job = this.jobs.get(id)
    return job !== undefined && this.findTasks(id).filter(({ done }) => done).length === job.counts.reduce((sum, count) => sum + count, 0)
  }

  recordWorkerEvent (worker: string, event: WorkerEvent, atMs: number): void {
    switch (event.type) {
      case 'started': return this.recordStart(worker, event.task, event.run, atMs)
      case 'ended': return this.recordCompletion(worker, event)
      case 'acknowledged': return this.recordAcknowledgement(worker, event)
      case 'crashed':
        this.bookedCpuMillis.set(worker, 0)
        for (const task of this.tasks.values()) task.running.delete(worker)
    }
  }

  private recordStart (worker: string, taskId: string, run: number, atMs: number): void {
    const [id, , step] = taskId.split('.') as [string, string, string]
    const job = this.jobs.get(id)
    if (job === undefined) return this.recordBreach('UNASKED', `${taskId} does not belong to a submitted job`)
    const task = this.getTask(taskId)
    task.starts += 1
    if (this.refusedJobs.has(id)) this.recordBreach('REFUSED', `${taskId} starts although its job was refused`)
    if (task.running.size > 0) this.recordBreach('TWICE', `${taskId} run ${run} starts on ${worker} concurrently with ${[...task.running].map(([other, present]) => `run ${present.run} on ${other}, started ${Math.round(atMs - present.startedAtMs)} ms before`).join(', ')}`)
    if (task.done && (task.doneAcknowledged || this.completedJobs.has(id))) this.recordBreach('TWICE', `${taskId} starts after its completion was acknowledged`)
    for (const starts of task.startsAfterDone.values()) starts.push(`run ${run} on ${worker}`)
    if (step === '1' && !this.isStepDone(job, 0)) this.recordBreach('ORDER', `${taskId} starts before the preceding step has completed`)
    if (task.acknowledgedFailures >= job.maxAttempts) this.recordBreach('BUDGET', `${taskId} starts after ${task.acknowledgedFailures} failures`)
    const cancelledAtMs = this.cancelledAtMs.get(id)
    if (cancelledAtMs !== undefined && atMs > cancelledAtMs + CANCEL_GRACE_MS) this.recordBreach('UNASKED', `${taskId} starts ${Math.round(atMs - cancelledAtMs)} ms after its cancellation was acknowledged`)
    const evacuatedSinceMs = this.evacuatedSinceMs.get(this.getDomain(worker))
    if (evacuatedSinceMs !== undefined && atMs > evacuatedSinceMs + EVACUATION_GRACE_MS) this.recordBreach('EVAC', `${taskId} starts on ${worker} ${Math.round(atMs - evacuatedSinceMs)} ms after the evacuation of its failure domain`)
    task.running.set(worker, { run, startedAtMs: atMs })
    const bookedCpuMillis = (this.bookedCpuMillis.get(worker) ?? 0) + job.cpuMillis
    this.bookedCpuMillis.set(worker, bookedCpuMillis)
    if (bookedCpuMillis > this.capacityCpuMillis) this.recordBreach('LIMIT', `${taskId} raises the booked CPU of ${worker} to ${bookedCpuMillis} of ${this.capacityCpuMillis}`)
  }

  private recordCompletion (worker: string, { task: taskId, run, outcome }: WorkerCompletion): void {
    const task = this.getTask(taskId)
    if (!task.running.delete(worker)) return
    this.bookedCpuMillis.set(worker, (this.bookedCpuMillis.get(worker) ?? 0) - (this.jobs.get(taskId.split('.')[0]!)?.cpuMillis ?? 0))
    if (outcome === 'done') {
      task.done = true
      task.startsAfterDone.set(`run ${run} on ${worker}`, [])
    }
    if (outcome === 'failed') task.failures += 1
  }

  private recordAcknowledgement (worker: string, { task: taskId, run, outcome, leaseLapsed }: WorkerAcknowledgement): void {
    const task = this.getTask(taskId)
    if (outcome === 'failed') task.acknowledgedFailures += 1
    if (outcome !== 'done') return
    task.doneAcknowledged = true
    const completed = `run ${run} on ${worker}`
    const starts = task.startsAfterDone.get(completed) ?? []
    task.startsAfterDone.delete(completed)
    if (starts.length > 0 && !leaseLapsed) this.recordBreach('TWICE', `${taskId} has started (${starts.join(', ')}) after ${completed} was done, which has been acknowledged since`)
  }

  private isStepDone (job: SoakJob, step: number): boolean {
    return Array.from({ length: job.counts[step]! }, (_, index) => this.getTask(`${job.id}.0.${step}.${index}`)).every(({ done }) => done)
  }

  private getTask (taskId: string): TaskHistory {
    const existing = this.tasks.get(taskId)
    if (existing !== undefined) return existing
    const task: TaskHistory = { running: new Map(), startsAfterDone: new Map(), done: false, failures: 0, doneAcknowledged: false, acknowledgedFailures: 0, starts: 0 }
    this.tasks.set(taskId, task)
    return task
  }

  private findTasks (id: string): readonly TaskHistory[] {
    return [...this.tasks].filter(([taskId]) => taskId.startsWith(`${id}.`)).map(([, task]) => task)
  }

  private recordBreach (rule: string, detail: string): void {
    this.breaches.push(`${rule}: ${detail} (${new Date().toISOString()})`)
  }
}
