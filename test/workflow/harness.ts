import type { CellConfiguration, Queue } from '../../src/workflow/cell-configuration.ts'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import type { JobDefinition, Step } from '../../src/workflow/job.ts'
import type { CellOptions } from '../../src/workflow/options.ts'
import type { ListedEnd, ListedRun, TargetEntry } from '../../src/workflow/target-entry.ts'

export const QUEUE: Queue = { name: 'stock', host: 'a.example', prefix: '/stock/', pool: 'kit', priority: 0, maxAttempts: 2, stretch: 1.5, latencyAimMs: 250, open: false, advice: undefined }

export const CONFIGURATION: CellConfiguration = {
  version: 1,
  queues: [QUEUE],
  pools: [{ name: 'kit', guardsCapacity: false, spare: false }],
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

export function job (id: string, ...steps: ReadonlyArray<Partial<Step>>): JobDefinition {
  return { id, queue: 'stock', organisation: 'zuu', payload: 'p', steps: steps.map((step) => ({ ...STEP, ...step })), firstAtMs: 0, intervalMs: 0, occurrences: 1, submittedAtMs: 0 }
}

export function entry (id: string, changes: Partial<TargetEntry> = {}): TargetEntry {
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
    coldMs: 0,
    ...changes
  }
}

export type Order = Extract<CellEffect, { type: 'start' | 'stop' }>

/** A cell with the means to say what its targets answer; time moves only when told to. */
export class CellHarness {
  now = 1_000
  readonly effects: CellEffect[] = []
  private ends = new Map<string, number>()

  private constructor (readonly cell: CellScheduler) {}

  /** A configured cell with listed and stored targets of the given entries. */
  static create (entries: readonly TargetEntry[], configuration: CellConfiguration = CONFIGURATION, options: Partial<CellOptions> = {}): CellHarness {
    const harness = new CellHarness(CellScheduler.create(options))
    harness.apply({ type: 'configured', configuration })
    for (const target of entries) harness.publish(target)
    return harness
  }

  publish (target: TargetEntry): void {
    this.apply({ type: 'target-published', entry: target })
    this.apply({ type: 'targets-stored', ids: [target.id] })
    this.list(target.id, { incarnation: target.incarnation })
  }

  /** Applies an event and starts what became possible; returns the effects of both. */
  apply (event: CellEvent): readonly CellEffect[] {
    const effects = [...this.cell.apply(event, this.now), ...this.cell.start(this.now)]
    this.effects.push(...effects)
    return effects
  }

  /** Lets time pass with a tick at the end. */
  pass (ms: number): readonly CellEffect[] {
    this.now += ms
    return this.apply({ type: 'tick' })
  }

  list (id: string, { running = [], ended = [], incarnation = 1, sentAt = this.now }: { running?: readonly ListedRun[], ended?: readonly ListedEnd[], incarnation?: number, sentAt?: number } = {}): readonly CellEffect[] {
    return this.apply({ type: 'target-listed', id, sentAt, listing: { incarnation, clockMs: this.now, running, ended } })
  }

  /** Orders sent so far of one type. */
  orders (type: Order['type']): readonly Order[] {
    return this.effects.filter((effect): effect is Order => effect.type === type)
  }

  /** Starts in `effects`, or all so far. */
  starts (effects: readonly CellEffect[] = this.effects): ReadonlyArray<Extract<CellEffect, { type: 'start' }>> {
    return effects.filter((effect): effect is Extract<CellEffect, { type: 'start' }> => effect.type === 'start')
  }

  /** Confirms a start. */
  confirm ({ target, command }: Extract<CellEffect, { type: 'start' }>): void {
    this.apply({ type: 'start-answered', target, task: command.task, run: command.run, answer: { type: 'accepted', clockMs: this.now } })
  }

  /** The target lists the end of a run. */
  end ({ target, command }: Pick<Extract<CellEffect, { type: 'start' }>, 'target' | 'command'>, ending: ListedEnd['ending'], checkpoint = ''): readonly CellEffect[] {
    const number = (this.ends.get(target) ?? 0) + 1
    this.ends.set(target, number)
    return this.list(target, { running: this.runningOn(target, command.task), ended: [{ number, task: command.task, run: command.run, ending, checkpoint }] })
  }

  /** Everything that the cell believes to run on a target, as the target would list it. */
  runningOn (id: string, without = ''): readonly ListedRun[] {
    return [...this.cell.target(id)?.runs.values() ?? []].filter((live) => live.task.key !== without).map((live) => ({ task: live.task.key, run: live.run, checkpoint: '', percent: 0, gauge: undefined }))
  }
}

const NO_LIMIT = { cpuMillis: 0, memoryMiB: 0, accelerators: 0 }

/** The configuration with a changed queue or a maximum of the organisation, in thousandths of a core. */
export function configured (changes: { queue?: Partial<typeof QUEUE>, maximumCpu?: number } = {}): CellConfiguration {
  return {
    ...CONFIGURATION,
    queues: [{ ...QUEUE, ...changes.queue }],
    organisations: [{ ...CONFIGURATION.organisations[0]!, maximum: { ...NO_LIMIT, cpuMillis: changes.maximumCpu ?? 0 } }]
  }
}

/** A cell with one target, `t1`. */
export function withTarget (changes: Parameters<typeof entry>[1] = {}, configuration = CONFIGURATION): CellHarness {
  return CellHarness.create([entry('t1', changes)], configuration)
}
