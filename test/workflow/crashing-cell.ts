import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import type { JobDefinition, JobPhase, Step } from '../../src/workflow/job.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import type { ListedCompletion, ListedRun, TargetEntry } from '../../src/workflow/target-entry.ts'
import { CONFIGURATION, buildEntry, buildJob } from './harness.ts'

const TARGETS = 6
const STEP_MS = 50
const RESPONSE_DELAY_MS = 10
const CRASH_DELAY_MS = 10
const RESTART_MS = 3_200
/** Targets that fall silent return after their leases have expired and their entries were withdrawn. */
const WITHDRAWN_MS = 4_500
const RETURN_MS = 6_000
const RUN_MS = 1_000
const RUNS_PER_TERM = 1_000_000

/**
 * How the end of a target shows. `port-closed`: connections are refused until another target comes at the address.
 * `same-id`: the target starts again under its id. `replaced`: no answer until another target comes at the address.
 * `silent`: the target was only unreachable, and comes back as it was, without the runs whose leases have expired.
 */
export type CrashEvidence = 'port-closed' | 'same-id' | 'replaced' | 'silent'

export type CrashingCellOptions = {
  /** Changes to the step of the job `deadly`. */
  readonly step?: Partial<Step>
  readonly evidence?: CrashEvidence
  readonly takeoversAtMs?: readonly number[]
  /** How long after the start of the first task of the job `deadly` its target crashes, by the number of crashes before. */
  readonly getCrashDelayMs?: (crashes: number) => number
  /** Duration of the tasks of the job `deadly`; they never end by themselves if it is left out. */
  readonly workMs?: number
  /** Number of jobs with four tasks that crash nothing. */
  readonly neighbours?: number
}

type MachineRun = { readonly run: number, readonly startedAt: number, readonly endsAt: number }

type Machine = { entry: TargetEntry, downUntil: number, number: number, runs: Map<string, MachineRun>, ended: ListedCompletion[] }

/** Simulates targets that crash under the first task of the job `deadly`, whenever it starts there, or after some work. */
export class CrashingCell {
  crashingStarts = 0
  private now = 1_000
  private term = 1
  private nextTarget = TARGETS
  private scheduler: CellScheduler
  private readonly machines: Machine[]
  private readonly jobs: JobDefinition[] = []
  private stored = new Map<string, JobProgress>()
  private pendingCalls: Array<{ readonly at: number, readonly call: () => void }> = []

  private constructor (private readonly options: CrashingCellOptions) {
    this.scheduler = this.createScheduler()
    this.machines = Array.from({ length: TARGETS }, (_, index) => ({ entry: buildEntry(`t${index}`, { address: `a${index}:80` }), downUntil: 0, number: 0, runs: new Map(), ended: [] }))
    for (const machine of this.machines) this.publish(machine)
    this.submit(buildJob('deadly', { count: 2, ...options.step }))
    for (let index = 0; index < (options.neighbours ?? 0); index++) this.submit(buildJob(`neighbour${index}`, { count: 4 }))
  }

  static create (options: CrashingCellOptions): CrashingCell {
    return new CrashingCell(options)
  }

  runUntil (endMs: number): void {
    while (this.now < endMs) {
      this.now += STEP_MS
      const due = this.pendingCalls.filter(({ at }) => at <= this.now)
      this.pendingCalls = this.pendingCalls.filter(({ at }) => at > this.now)
      for (const { call } of due) call()
      if (this.options.takeoversAtMs?.includes(this.now) === true) this.takeOver()
      for (const machine of this.machines) this.list(machine)
      this.apply({ type: 'tick' })
    }
  }

  getPhase (id: string): JobPhase | undefined {
    return this.scheduler.getPhase(id)
  }

  getPhases (prefix: string): ReadonlyArray<JobPhase | undefined> {
    return this.jobs.filter(({ id }) => id.startsWith(prefix)).map(({ id }) => this.getPhase(id))
  }

  private createScheduler (): CellScheduler {
    const scheduler = CellScheduler.create({ firstRunNumber: (this.term - 1) * RUNS_PER_TERM + 1 })
    const organisations = [{ ...CONFIGURATION.organisations[0]!, weight: 100 }]
    scheduler.apply({ type: 'configured', configuration: { ...CONFIGURATION, organisations } }, this.now)
    return scheduler
  }

  private submit (definition: JobDefinition): void {
    this.jobs.push(definition)
    this.apply({ type: 'job-accepted', definition })
  }

  private publish (machine: Machine): void {
    this.apply({ type: 'target-published', entry: machine.entry })
    this.apply({ type: 'targets-stored', ids: [machine.entry.id] })
  }

  private apply (event: CellEvent): void {
    const effects = [...this.scheduler.apply(event, this.now), ...this.scheduler.startTasks(this.now)]
    for (const effect of effects) this.execute(effect)
  }

  private execute (effect: CellEffect): void {
    const { term } = this
    const whileLeading = (call: () => void): void => this.schedule(RESPONSE_DELAY_MS, () => { if (term === this.term) call() })
    switch (effect.type) {
      case 'start': return this.start(effect)
      case 'stop': {
        this.machines.find(({ entry }) => entry.id === effect.target)?.runs.delete(effect.command.task)
        return whileLeading(() => this.apply({ type: 'stop-answered', target: effect.target, incarnation: effect.incarnation, task: effect.command.task, run: effect.command.run, response: { type: 'accepted', clockMs: this.now } }))
      }
      case 'store-progress': return whileLeading(() => this.store())
      default:
    }
  }

  private start ({ target, incarnation, command: { task, run } }: Extract<CellEffect, { type: 'start' }>): void {
    const machine = this.machines.find(({ entry }) => entry.id === target)
    if (machine === undefined || machine.downUntil > this.now) return
    machine.runs.set(task, { run, startedAt: this.now, endsAt: this.now + (task.startsWith('deadly') ? this.options.workMs ?? Infinity : RUN_MS) })
    const crashDelayMs = this.options.getCrashDelayMs?.(this.crashingStarts) ?? CRASH_DELAY_MS
    if (task === 'deadly.0.0.0') {
      this.crashingStarts += 1
      this.schedule(crashDelayMs, () => { if (machine.runs.get(task)?.run === run) this.crash(machine) })
      // A target that crashes at once does not answer.
      if (crashDelayMs === CRASH_DELAY_MS) return
    }
    const { term } = this
    this.schedule(1, () => { if (term === this.term) this.apply({ type: 'start-answered', target, incarnation, task, run, response: { type: 'accepted', clockMs: this.now } }) })
  }

  private crash (machine: Machine): void {
    const evidence = this.options.evidence ?? 'port-closed'
    const { entry } = machine
    const id = evidence === 'port-closed' || evidence === 'replaced' ? `t${this.nextTarget++}` : entry.id
    machine.downUntil = this.now + (evidence === 'silent' ? RETURN_MS : RESTART_MS)
    machine.runs.clear()
    if (this.options.step?.gang === true) this.breakGang()
    if (evidence === 'silent') this.schedule(WITHDRAWN_MS, () => this.apply({ type: 'target-withdrawn', id: entry.id }))
    else machine.ended = []
    this.schedule(machine.downUntil - this.now, () => {
      if (evidence !== 'silent') {
        machine.entry = { ...entry, id, incarnation: entry.incarnation + 1 }
        machine.number = 0
      }
      this.publish(machine)
      if (id !== entry.id) this.schedule(1_000, () => this.apply({ type: 'target-withdrawn', id: entry.id }))
    })
  }

  /** Ends the other members of the crashing task's gang. */
  private breakGang (): void {
    for (const machine of this.machines) {
      for (const [task, { run }] of [...machine.runs]) {
        if (task.startsWith('deadly')) this.endRun(machine, task, run, 'gang-broken')
      }
    }
  }

  private endRun (machine: Machine, task: string, run: number, outcome: ListedCompletion['outcome']): void {
    machine.runs.delete(task)
    machine.number += 1
    machine.ended.push({ number: machine.number, task, run, outcome, checkpoint: '' })
  }

  private list (machine: Machine): void {
    const { entry, runs } = machine
    if (machine.downUntil > this.now) {
      const cause = this.options.evidence === undefined || this.options.evidence === 'port-closed' ? 'no-listener' : 'no-answer'
      return this.apply({ type: 'target-silent', id: entry.id, cause })
    }
    for (const [task, { run, endsAt }] of [...runs]) {
      if (endsAt <= this.now) this.endRun(machine, task, run, 'done')
    }
    const running: readonly ListedRun[] = [...runs].map(([task, { run, startedAt, endsAt }]) => ({ task, run, checkpoint: '', percent: Math.floor(100 * (this.now - startedAt) / (endsAt - startedAt)), gauge: undefined }))
    this.apply({ type: 'target-listed', id: entry.id, sentAt: this.now - 1, listing: { incarnation: entry.incarnation, clockMs: this.now, running, ended: machine.ended } })
  }

  private store (): void {
    for (const { id } of this.jobs) {
      const progress = this.scheduler.getProgress(id)
      if (progress !== undefined) this.stored.set(id, progress)
    }
    const phases = new Map(this.jobs.flatMap(({ id }) => { const phase = this.stored.get(id)?.phase; return phase === undefined ? [] : [[id, phase] as const] }))
    this.apply({ type: 'progress-stored', phases, released: [], completions: this.scheduler.getProcessedCompletions() })
  }

  /** Replaces the leader by one that knows only what was stored and what the targets list. */
  private takeOver (): void {
    this.term += 1
    this.scheduler = this.createScheduler()
    this.scheduler.expectEarlierRuns()
    for (const definition of this.jobs) this.apply({ type: 'job-restored', definition, progress: this.stored.get(definition.id) })
    for (const machine of this.machines) this.publish(machine)
    const { term } = this
    this.schedule(200, () => { if (term === this.term) this.apply({ type: 'earlier-runs-lapsed' }) })
  }

  private schedule (delayMs: number, call: () => void): void {
    this.pendingCalls.push({ at: this.now + delayMs, call })
  }
}
