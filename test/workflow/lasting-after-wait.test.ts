import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellConfiguration, Queue } from '../../src/workflow/settings/cell-configuration.ts'
import { hash } from '../../src/util/hash.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry, buildJob } from './harness.ts'
import { SimulatedAdvisor } from './simulated-advisor.ts'

const QUEUES: readonly Queue[] = [
  { ...QUEUE, name: 'urgent', advice: { decisionMs: 28, perTargetMs: 0.4, validityMs: 2_000 } },
  { ...QUEUE, name: 'watch', priority: 1, advice: { decisionMs: 450, perTargetMs: 6.5, validityMs: 2_000 } },
  { ...QUEUE, name: 'batch', priority: 2, advice: { decisionMs: 370, perTargetMs: 5.3, validityMs: 2_000 } },
  { ...QUEUE, name: 'filler', priority: 1 }
]
const CELL: CellConfiguration = { ...CONFIGURATION, queues: QUEUES }
const TARGETS = 30
const STEP_MS = 10
const TICK_MS = 50
const MS_PER_S = 1_000
const CAPACITY = buildEntry('t').capacity
const SMALL = { cpuMillis: 100, memoryMiB: 1, accelerators: 0 }
/** In a pool of which three quarters are in use, it needs what is kept for urgent tasks. */
const LASTING = { cpuMillis: 800, memoryMiB: 100, accelerators: 0 }
/** A target that nobody reaches: what runs there must be waited for. */
const LOST_TARGET = 'lost'
const OBSERVED_MS = 20_000

/** `jobs`: the eight tasks that last are those of so many jobs. `full`: ratio of the pool that is in use. */
type Takeover = { readonly channels: number, readonly jobs: number, readonly full: number, readonly waitMs: number }

const LASTING_TASKS = 8
/** Other work that the leader before has left: jobs of one task. */
const LEFT = { urgent: 60, batch: 60 }
const URGENT_PER_S = 20

/** Ratio of the targets that the advisor allows for a step. */
const ALLOWED_RATIO = 0.6

function isAllowed (step: string, target: string): boolean {
  return hash(`${step} ${target}`) % 100 < 100 * ALLOWED_RATIO
}

/** A leader that waits because of one target, while the others go on with what fills them. */
class WaitingCell {
  private readonly advisor: SimulatedAdvisor
  private readonly ends = new Map<string, number>()
  private readonly lastingStarts = new Map<string, number>()
  private readonly beganAt: number
  private handledEffects = 0
  private arrived = 0

  private constructor (private readonly harness: CellHarness, { channels }: Takeover) {
    this.advisor = SimulatedAdvisor.create(channels)
    this.beganAt = harness.now
  }

  static create (takeover: Takeover): WaitingCell {
    const harness = CellHarness.createUnconfigured()
    const cell = new WaitingCell(harness, takeover)
    harness.apply({ type: 'configured', configuration: CELL })
    harness.apply({ type: 'advice-channels', channels: takeover.channels })
    harness.scheduler.expectEarlierRuns()
    for (let index = 0; index < takeover.jobs; index += 1) cell.restore(`lasting${index}`, 'watch', { longRunning: true, count: LASTING_TASKS / takeover.jobs, demand: LASTING })
    for (const queue of ['urgent', 'batch'] as const) {
      for (let index = 0; index < LEFT[queue]; index += 1) cell.restore(`${queue}left${index}`, queue, { demand: SMALL })
    }
    cell.restore('filler', 'filler', { count: TARGETS, longRunning: true, demand: { ...SMALL, cpuMillis: takeover.full * CAPACITY.cpuMillis } })
    harness.now += STEP_MS
    harness.apply({ type: 'targets-stored', ids: [LOST_TARGET, ...cell.targets] })
    cell.targets.forEach((id, index) => {
      harness.apply({ type: 'target-published', entry: buildEntry(id) })
      harness.listTarget(id, { running: [{ task: `filler.0.0.${index}`, run: index + 1, checkpoint: '', percent: 100, gauge: undefined }] })
    })
    return cell
  }

  private get targets (): readonly string[] {
    return Array.from({ length: TARGETS }, (_, index) => `t${index}`)
  }

  private restore (id: string, queue: string, step: Parameters<CellHarness['acceptJob']>[2]): void {
    this.harness.apply({ type: 'job-restored', definition: { ...buildJob(id, step!), queue }, progress: undefined })
  }

  /** Lets time pass until the wait ends; returns how long after that the last of the tasks that last has started. */
  measure (waitMs: number): number {
    const { harness } = this
    const endsAt = harness.now + waitMs
    while (harness.now < endsAt) this.advance()
    harness.apply({ type: 'earlier-runs-lapsed' })
    while (harness.now < endsAt + OBSERVED_MS && this.lastingStarts.size < LASTING_TASKS) this.advance()
    return this.lastingStarts.size < LASTING_TASKS ? Infinity : Math.max(...this.lastingStarts.values()) - endsAt
  }

  private advance (): void {
    const { harness } = this
    harness.now += STEP_MS
    while (this.arrived < (harness.now - this.beganAt) / MS_PER_S * URGENT_PER_S) harness.acceptJob(`urgent${this.arrived++}`, 'urgent', { demand: SMALL })
    for (const effect of harness.effects.slice(this.handledEffects)) {
      if (effect.type === 'request-advice') this.advisor.add([effect])
      if (effect.type !== 'start') continue
      if (effect.command.task.startsWith('lasting')) this.lastingStarts.set(effect.command.task, harness.now)
      harness.acceptStart(effect)
    }
    this.handledEffects = harness.effects.length
    for (const { step, targets } of this.advisor.advance(harness.now)) {
      const allowed = targets.filter((target) => isAllowed(step, target))
      harness.apply({ type: 'advised', step, requestedTargets: targets, response: { type: 'advised', tickets: allowed.map((target) => ({ target, ticket: 'ticket' })), validityMs: undefined } })
    }
    if ((harness.now - this.beganAt) % TICK_MS === 0) this.listTargets()
  }

  /** Tasks that end do so at once. */
  private listTargets (): void {
    for (const id of this.targets) {
      const runs = this.harness.runningOn(id).map((run) => ({ ...run, percent: 100 }))
      const ending = runs.filter(({ task }) => !task.startsWith('lasting') && !task.startsWith('filler'))
      const ended = ending.map(({ task, run }) => {
        const number = (this.ends.get(id) ?? 0) + 1
        this.ends.set(id, number)
        return { number, task, run, outcome: 'done' as const, checkpoint: '' }
      })
      this.harness.listTarget(id, { running: runs.filter((run) => !ending.includes(run)), ended })
    }
    this.harness.apply({ type: 'tick' })
  }
}

/** A task that lasts is owed a run so long after the last disturbance, and after its last run, in milliseconds. */
const OWED_AFTER_DISTURBANCE_MS = 7_000
const OWED_AFTER_RUN_MS = 9_000

const takeovers = [3_600, 6_500].flatMap((waitMs) => [0.5, 0.75].flatMap((full) => [
  { channels: 1, jobs: 1, full, waitMs, owedMs: OWED_AFTER_DISTURBANCE_MS },
  { channels: 2, jobs: 1, full, waitMs, owedMs: OWED_AFTER_DISTURBANCE_MS },
  { channels: 7, jobs: 1, full, waitMs, owedMs: OWED_AFTER_DISTURBANCE_MS },
  // The advisor alone needs 4 s for the requests of eight jobs, so that they fall due with their last runs.
  { channels: 2, jobs: 8, full, waitMs, owedMs: OWED_AFTER_RUN_MS },
  { channels: 4, jobs: 8, full, waitMs, owedMs: OWED_AFTER_DISTURBANCE_MS },
  { channels: 7, jobs: 8, full, waitMs, owedMs: OWED_AFTER_DISTURBANCE_MS }
]))

for (const { owedMs, ...takeover } of takeovers) {
  const { channels, jobs, full, waitMs } = takeover
  // LOST: what a takeover had waited for did not count, so that tasks that last asked the advisor after all other work that was left.
  test(`lasting after wait: guards against the failure that eight tasks of ${jobs} jobs start too late after a wait of ${waitMs} ms, with ${channels} channels, in a pool of which ${full} is in use`, () => {
    const startedMs = WaitingCell.create(takeover).measure(waitMs)
    assert.ok(startedMs <= owedMs - waitMs, `${startedMs} ms after the wait in place of ${owedMs - waitMs} ms`)
  })
}
