import type { Random } from '../../src/util/random.ts'
import type { JobDefinition } from '../../src/workflow/job.ts'
import type { SimulatedRun, SimulatedTarget } from './simulated-target.ts'
import type { VirtualTime } from './virtual-time.ts'

/** A member waits so long for the others, in milliseconds. */
const GANG_TIMEOUT_MS = 2_000
/** The other members notice the end of one after this time, in milliseconds. */
const BREAK_DELAY_MS = 5

export type SimulatedGangsOptions = {
  readonly targets: ReadonlyMap<string, SimulatedTarget>
  readonly jobs: ReadonlyMap<string, JobDefinition>
  readonly time: VirtualTime
  readonly random: Random
}

type PresentMember = { readonly target: SimulatedTarget, readonly member: SimulatedRun }

/** Lets the members of gangs work only together: from the moment when all are present, and until one ends. */
export class SimulatedGangs {
  private constructor (private readonly options: SimulatedGangsOptions) {}

  static create (options: SimulatedGangsOptions): SimulatedGangs {
    return new SimulatedGangs(options)
  }

  /** Handles the start of a run on a target. */
  handleStart (target: SimulatedTarget, task: string, run: number): void {
    const size = this.getSize(task)
    if (size === undefined) return
    const present = this.findMembers(task, run)
    for (const other of present) other.target.setEnd(other.member, Infinity)
    if (present.length === size) return this.work(present)
    this.options.time.schedule(GANG_TIMEOUT_MS, () => {
      if (target.runs.get(task)?.run === run && target.runs.get(task)?.endsAt === Infinity) target.endRun(task, run, 'gang-incomplete')
    })
  }

  /** Handles that a run ended other than as done, or that its target is gone. */
  handleLoss (task: string, run: number): void {
    if (this.getSize(task) === undefined) return
    this.options.time.schedule(BREAK_DELAY_MS, () => {
      for (const { target, member } of this.findMembers(task, run)) target.endRun(member.task, run, 'gang-broken')
    })
  }

  /** All members end as done together, or one fails and the others are broken. */
  private work (present: readonly PresentMember[]): void {
    const endsAt = this.options.time.now + 300 + this.options.random.nextInt(1_200)
    const failing = present.filter(({ member }) => member.fails)
    for (const { target, member } of failing.length > 0 ? failing : present) target.setEnd(member, endsAt)
  }

  private findMembers (task: string, run: number): readonly PresentMember[] {
    const step = task.slice(0, task.lastIndexOf('.') + 1)
    return [...this.options.targets.values()].flatMap((target) => [...target.runs.values()]
      .filter((member) => member.task.startsWith(step) && member.run === run)
      .map((member) => ({ target, member })))
  }

  /** Number of members of the gang; undefined if the task belongs to none. */
  private getSize (task: string): number | undefined {
    const [id, , stepNumber] = task.split('.')
    const { gang, count } = this.options.jobs.get(id!)!.steps[Number(stepNumber)]!
    return gang ? count : undefined
  }
}
