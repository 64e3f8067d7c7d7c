import type { CellConfiguration, Queue } from '../../src/workflow/settings/cell-configuration.ts'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import type { JobDefinition, Step } from '../../src/workflow/job.ts'
import type { CellOptions } from '../../src/workflow/options.ts'
import type { ListedCompletion, ListedRun, TargetEntry } from '../../src/workflow/target-entry.ts'

export const QUEUE: Queue = { name: 'stock', host: 'a.example', prefix: '/stock/', pool: 'kit', priority: 0, maxAttempts: 2, stretch: 1.5, latencyObjectiveMs: 250, isPublic: false, advice: undefined }

export const CONFIGURATION: CellConfiguration = {
  version: 1,
  queues: [QUEUE],
  pools: [{ name: 'kit', rejectsOverload: false, spare: false }],
  organisations: [{ name: 'zuu', keys: ['k1'], weight: 1, maximum: { cpuMillis: 0, memoryMiB: 0, accelerators: 0 } }],
  maxBodyBytes: 100_000
}

export const STEP: Step = {
  count: 1,
  demand: { cpuMillis: 1_000, memoryMiB: 100, accelerators: 0 },
  estimatedMs: 500,
  after: [],
  gang: false,
  sameRack: false,
  requiredLabel: undefined,
  dataRack: undefined,
  perTargetLimit: 0,
  speculative: false,
  longRunning: false,
  checkpoints: false,
  image: 'im',
  latencyTargetMs: 0,
  fills: false,
  disruptionBudget: 0
}

export function buildJob (id: string, ...steps: ReadonlyArray<Partial<Step>>): JobDefinition {
  return { id, queue: 'stock', organisation: 'zuu', payload: 'p', steps: steps.map((step) => ({ ...STEP, ...step })), firstAtMs: 0, intervalMs: 0, occurrences: 1, submittedAtMs: 0 }
}

export function buildEntry (id: string, changes: Partial<TargetEntry> = {}): TargetEntry {
  return {
    id,
    incarnation: 1,
    address: `${id}:80`,
    pool: 'kit',
    failureDomain: 'east',
    labels: ['a', 'r1'],
    rack: 'r1',
    capacity: { cpuMillis: 4_000, memoryMiB: 1_000, accelerators: 0 },
    draining: false,
    leavesInMs: undefined,
    warmUpRemainingMs: 0,
    ...changes
  }
}

/** Clock of a target that did not restart recently, at the time 0 of a harness. */
const ESTABLISHED_CLOCK_MS = 60_000

export type SentCommand = Extract<CellEffect, { type: 'start' | 'stop' }>

/** Runs a scheduler with simulated responses of its targets. Time passes only in `advance`, or when `now` is set. */
export class CellHarness {
  now = 1_000
  readonly effects: CellEffect[] = []
  private completionNumbers = new Map<string, number>()

  private constructor (readonly scheduler: CellScheduler) {}

  /** Creates a configured scheduler with a listed and stored target for each entry. */
  static create (entries: readonly TargetEntry[], configuration: CellConfiguration = CONFIGURATION, options: Partial<CellOptions> = {}): CellHarness {
    const harness = new CellHarness(CellScheduler.create(options))
    harness.apply({ type: 'configured', configuration })
    for (const entry of entries) harness.publishTarget(entry)
    return harness
  }

  /** Creates a scheduler that has no configuration and no targets. */
  static createUnconfigured (): CellHarness {
    return new CellHarness(CellScheduler.create())
  }

  publishTarget (entry: TargetEntry): void {
    this.apply({ type: 'target-published', entry })
    this.apply({ type: 'targets-stored', ids: [entry.id] })
    this.listTarget(entry.id, { incarnation: entry.incarnation })
  }

  /** Applies an event, runs a start pass and returns the effects of both. */
  apply (event: CellEvent): readonly CellEffect[] {
    const effects = [...this.scheduler.apply(event, this.now), ...this.scheduler.startTasks(this.now)]
    this.effects.push(...effects)
    return effects
  }

  /** Accepts a job of one step in a queue. */
  acceptJob (id: string, queue: string, step: Partial<Step> = {}): void {
    this.apply({ type: 'job-accepted', definition: { ...buildJob(id, step), queue } })
  }

  /** Advances the time and applies a tick. */
  advance (elapsedMs: number): readonly CellEffect[] {
    this.now += elapsedMs
    return this.apply({ type: 'tick' })
  }

  listTarget (id: string, { running = [], ended = [], incarnation = 1, sentAt = this.now, clockMs = this.now + ESTABLISHED_CLOCK_MS }: { running?: readonly ListedRun[], ended?: readonly ListedCompletion[], incarnation?: number, sentAt?: number, clockMs?: number } = {}): readonly CellEffect[] {
    return this.apply({ type: 'target-listed', id, sentAt, listing: { incarnation, clockMs, running, ended } })
  }

  /** Returns all commands of one type that were sent so far. */
  getCommands (type: SentCommand['type']): readonly SentCommand[] {
    return this.effects.filter((effect): effect is SentCommand => effect.type === type)
  }

  /** Returns the start commands in `effects`, or all that were sent so far. */
  getStarts (effects: readonly CellEffect[] = this.effects): ReadonlyArray<Extract<CellEffect, { type: 'start' }>> {
    return effects.filter((effect): effect is Extract<CellEffect, { type: 'start' }> => effect.type === 'start')
  }

  /** Number of tasks of a job that were started, however often. */
  countStartedTasks (job: string): number {
    const tasks = this.getStarts().map(({ command }) => command.task)
    return new Set(tasks.filter((task) => task.startsWith(`${job}.`))).size
  }

  /** Applies the response of a target that accepted a start. */
  acceptStart ({ target, incarnation, command }: Extract<CellEffect, { type: 'start' }>): void {
    this.apply({ type: 'start-answered', target, incarnation, task: command.task, run: command.run, response: { type: 'accepted', clockMs: this.now } })
  }

  /** Applies a listing that contains the completion of a run. */
  completeRun ({ target, command }: Pick<Extract<CellEffect, { type: 'start' }>, 'target' | 'command'>, outcome: ListedCompletion['outcome'], checkpoint = ''): readonly CellEffect[] {
    const number = (this.completionNumbers.get(target) ?? 0) + 1
    this.completionNumbers.set(target, number)
    return this.listTarget(target, { running: this.runningOn(target, command.task), ended: [{ number, task: command.task, run: command.run, outcome, checkpoint }] })
  }

  /** Lists all runs that the scheduler has on a target, apart from those of `excludedTask`. */
  runningOn (id: string, excludedTask = ''): readonly ListedRun[] {
    return [...this.scheduler.getTarget(id)?.runs.values() ?? []].filter((live) => live.task.key !== excludedTask).map((live) => ({ task: live.task.key, run: live.run, checkpoint: '', percent: 0, gauge: undefined }))
  }
}

const NO_LIMIT = { cpuMillis: 0, memoryMiB: 0, accelerators: 0 }

/** Builds a configuration with a changed queue, or with a maximum of the organisation in thousandths of a core. */
export function buildConfiguration (changes: { queue?: Partial<typeof QUEUE>, maximumCpuMillis?: number } = {}): CellConfiguration {
  return {
    ...CONFIGURATION,
    queues: [{ ...QUEUE, ...changes.queue }],
    organisations: [{ ...CONFIGURATION.organisations[0]!, maximum: { ...NO_LIMIT, cpuMillis: changes.maximumCpuMillis ?? 0 } }]
  }
}

/** Builds organisations with one that has this maximum in thousandths of a core, and may submit many jobs. */
export function buildOrganisations (maximumCpuMillis: number): CellConfiguration['organisations'] {
  return [{ ...CONFIGURATION.organisations[0]!, weight: 100, maximum: { ...NO_LIMIT, cpuMillis: maximumCpuMillis } }]
}

/** Creates a harness with one target, `t1`. */
export function createHarnessWithTarget (changes: Parameters<typeof buildEntry>[1] = {}, configuration = CONFIGURATION): CellHarness {
  return CellHarness.create([buildEntry('t1', changes)], configuration)
}
