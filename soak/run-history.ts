import type { WorkerEvent } from '../platform/standin/worker-server.ts'

/** Shape of a submitted job, as far as the checks need it. Step 1 starts after step 0. */
export type SoakJob = { readonly id: string, readonly counts: readonly number[], readonly cpu: number, readonly maxAttempts: number }

type TaskHistory = {
  /** Workers on which a run is present, with its number. */
  readonly running: Map<string, number>
  done: boolean
  failures: number
  doneNoted: boolean
  failuresNoted: number
  starts: number
}

/** Tasks of a cancelled job may start for this time after the acknowledgement, in milliseconds (`cancel_ms`). */
const CANCEL_MS = 3_000
/** Tasks may start in a failure domain for this time after it was taken out, in milliseconds (`evacuateMs`). */
const EVACUATE_MS = 5_000

/**
 * Checks the promises of the platform's rules from what workers do and what callers were told. Breaches are texts that
 * name the rule.
 */
export class RunHistory {
  readonly breaches: string[] = []
  private readonly jobs = new Map<string, SoakJob>()
  private readonly tasks = new Map<string, TaskHistory>()
  private readonly cpuTaken = new Map<string, number>()
  private readonly refused = new Set<string>()
  private readonly cancelledAt = new Map<string, number>()
  private readonly completed = new Set<string>()
  /** Failure domains that are out, and since when. */
  private readonly out = new Map<string, number>()

  private constructor (private readonly capacityCpu: number, private readonly domainOf: (worker: string) => string) {}

  /**
   * @example
   * const history = RunHistory.create(16_000, () => 'east')
   * history.noteWorker('w1', { type: 'started', task: 'a.0.0.0', run: 1 }, performance.now())
   */
  static create (capacityCpu: number, domainOf: (worker: string) => string): RunHistory {
    return new RunHistory(capacityCpu, domainOf)
  }

  /** The operator takes a failure domain out, or back if `since` is undefined. */
  noteDomain (domain: string, since: number | undefined): void {
    if (since === undefined) this.out.delete(domain)
    else this.out.set(domain, since)
  }

  /** A caller is about to hand a job in. */
  noteSubmission (job: SoakJob): void {
    this.jobs.set(job.id, job)
  }

  /** Every attempt to hand the job in was refused. */
  noteRefused (id: string): void {
    this.refused.add(id)
    if (this.tasksOf(id).some(({ starts }) => starts > 0)) this.breach('REFUSED', `${id} was refused and has started`)
  }

  noteCancelled (id: string, at: number): void {
    this.cancelledAt.set(id, at)
  }

  /** A caller was shown a state. */
  noteState (id: string, state: string): void {
    const job = this.jobs.get(id)
    if (state === 'completed' && job !== undefined) {
      this.completed.add(id)
      const done = this.tasksOf(id).filter((task) => task.done).length
      const total = job.counts.reduce((sum, count) => sum + count, 0)
      if (done < total) this.breach('MIXED', `${id} is shown as completed with ${done} of ${total} tasks done`)
    }
    if (state === 'failed' && job !== undefined && !this.tasksOf(id).some(({ failures }) => failures >= job.maxAttempts)) this.breach('LOST', `${id} is shown as failed before its last attempt`)
    if (state === 'absent') this.breach('LOST', `${id} was accepted and is not known`)
    if (state === 'cancelled' && !this.cancelledAt.has(id)) this.breach('LOST', `${id} is shown as cancelled, and nobody has cancelled it`)
  }

  /** Whether all tasks of a job have ended `done`. */
  isDone (id: string): boolean {
    const job = this.jobs.get(id)
    return job !== undefined && this.tasksOf(id).filter(({ done }) => done).length === job.counts.reduce((sum, count) => sum + count, 0)
  }

  noteWorker (worker: string, event: WorkerEvent, at: number): void {
    switch (event.type) {
      case 'started': return this.started(worker, event.task, event.run, at)
      case 'ended': return this.ended(worker, event.task, event.outcome)
      case 'acknowledged': return this.acknowledged(event.task, event.outcome)
      case 'crashed':
        this.cpuTaken.set(worker, 0)
        for (const task of this.tasks.values()) task.running.delete(worker)
    }
  }

  private started (worker: string, key: string, run: number, at: number): void {
    const [id, , step] = key.split('.') as [string, string, string]
    const job = this.jobs.get(id)
    if (job === undefined) return this.breach('UNASKED', `${key} belongs to no submitted job`)
    const task = this.task(key)
    task.starts += 1
    if (this.refused.has(id)) this.breach('REFUSED', `${key} starts although its job was refused`)
    if (task.running.size > 0) this.breach('TWICE', `${key} run ${run} starts on ${worker} beside ${[...task.running].map(([other, number]) => `run ${number} on ${other}`).join(', ')}`)
    if (task.done && (task.doneNoted || this.completed.has(id))) this.breach('TWICE', `${key} starts after its end was taken note of`)
    if (step === '1' && !this.isStepDone(job, 0)) this.breach('ORDER', `${key} starts before the step before it has ended`)
    if (task.failuresNoted >= job.maxAttempts) this.breach('BUDGET', `${key} starts after ${task.failuresNoted} failures`)
    const cancelled = this.cancelledAt.get(id)
    if (cancelled !== undefined && at > cancelled + CANCEL_MS) this.breach('UNASKED', `${key} starts ${Math.round(at - cancelled)} ms after its cancelling was acknowledged`)
    const outSince = this.out.get(this.domainOf(worker))
    if (outSince !== undefined && at > outSince + EVACUATE_MS) this.breach('EVAC', `${key} starts on ${worker} ${Math.round(at - outSince)} ms after its failure domain was taken out`)
    task.running.set(worker, run)
    const taken = (this.cpuTaken.get(worker) ?? 0) + job.cpu
    this.cpuTaken.set(worker, taken)
    if (taken > this.capacityCpu) this.breach('LIMIT', `${key} brings ${worker} to ${taken} of ${this.capacityCpu}`)
  }

  private ended (worker: string, key: string, how: string): void {
    const task = this.task(key)
    if (!task.running.delete(worker)) return
    this.cpuTaken.set(worker, (this.cpuTaken.get(worker) ?? 0) - (this.jobs.get(key.split('.')[0]!)?.cpu ?? 0))
    if (how === 'done') task.done = true
    if (how === 'failed') task.failures += 1
  }

  private acknowledged (key: string, how: string): void {
    const task = this.task(key)
    if (how === 'done') task.doneNoted = true
    if (how === 'failed') task.failuresNoted += 1
  }

  private isStepDone (job: SoakJob, step: number): boolean {
    return Array.from({ length: job.counts[step]! }, (_, index) => this.task(`${job.id}.0.${step}.${index}`)).every(({ done }) => done)
  }

  private task (key: string): TaskHistory {
    const known = this.tasks.get(key)
    if (known !== undefined) return known
    const task: TaskHistory = { running: new Map(), done: false, failures: 0, doneNoted: false, failuresNoted: 0, starts: 0 }
    this.tasks.set(key, task)
    return task
  }

  private tasksOf (id: string): readonly TaskHistory[] {
    return [...this.tasks].filter(([key]) => key.startsWith(`${id}.`)).map(([, task]) => task)
  }

  private breach (rule: string, detail: string): void {
    this.breaches.push(`${rule}: ${detail}`)
  }
}
