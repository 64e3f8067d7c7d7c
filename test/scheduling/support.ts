import type { Profile, Team } from '../../src/model/configuration.ts'
import type { Resources } from '../../src/model/resources.ts'
import type { Target } from '../../src/model/target.ts'
import type { Work, WorkKind } from '../../src/model/work.ts'
import type { SchedulerEffect } from '../../src/scheduling/effect.ts'
import type { SchedulerEvent, TaskCompletion } from '../../src/scheduling/event.ts'
import type { SchedulerOptions } from '../../src/scheduling/options.ts'
import { Scheduler } from '../../src/scheduling/scheduler.ts'

export const LARGE: Resources = { cpuMillis: 1e9, memoryMiB: 1e9, accelerators: 1e6, slots: 1e6, connections: 1e6 }

export function amount (slots: number, cpuMillis = 1000 * slots, accelerators = 0): Resources {
  return { cpuMillis, memoryMiB: 1024 * slots, accelerators, slots, connections: slots }
}

export function target (id: string, changes: Partial<Target> = {}): Target {
  const capacity = { cpuMillis: 16_000, memoryMiB: 65_536, accelerators: 0, slots: 8, connections: 60 }
  return { id, host: id, address: '', failureDomain: 'a', rack: 'r1', capacity, state: 'live', ...changes }
}

export function team (name: string, changes: Partial<Team> = {}): Team {
  return { name, organisation: `org-${name}`, weight: 1, limit: LARGE, waitingLimit: 100_000, ...changes }
}

export function work (id: string, kind: WorkKind, changes: Partial<Work> = {}): Work {
  return {
    id,
    team: 'sewing',
    queue: 'main',
    family: 'cut',
    resources: amount(1),
    expectedMs: 0,
    urgent: false,
    idempotent: true,
    submittedAt: 0,
    payload: null,
    ...changes,
    ...kind
  } as Work
}

/** A scheduler with a clock and the tasks that its effects have started, as a group would know them. */
export class Rig {
  now = 0
  readonly scheduler: Scheduler
  readonly running = new Map<string, string>()
  /** Tasks asked to stop, and whether they run again. */
  readonly asked = new Map<string, boolean>()
  readonly effects: SchedulerEffect[] = []

  constructor (teams: readonly Team[], targets: readonly Target[], options: Partial<SchedulerOptions> = {}, weighs: Profile['weighs'] = 'packing') {
    this.scheduler = Scheduler.create(options)
    const organisations = [...new Set(teams.map((entry) => entry.organisation))].map((name) => ({ name, weight: 1 }))
    this.send({ type: 'teams-changed', organisations, teams, profile: { name: 'profile', weighs } })
    for (const entry of teams) this.send({ type: 'grant-changed', team: entry.name, amount: entry.limit })
    for (const entry of targets) this.send({ type: 'target-upserted', target: entry })
  }

  send (event: DistributiveOmit<SchedulerEvent, 'now'>): readonly SchedulerEffect[] {
    const effects = this.scheduler.apply({ ...event, now: this.now } as SchedulerEvent)
    for (const effect of effects) {
      this.effects.push(effect)
      if (effect.type === 'stop') this.asked.set(effect.taskId, effect.cause !== 'cancelled')
      if (effect.type === 'start') this.running.set(effect.taskId, effect.targetId)
    }
    return effects
  }

  submit (...works: readonly Work[]): void {
    for (const entry of works) this.send({ type: 'work-submitted', work: entry })
  }

  end (taskId: string, end: TaskCompletion = 'succeeded', again = false): readonly SchedulerEffect[] {
    const targetId = this.running.get(taskId)!
    this.running.delete(taskId)
    this.asked.delete(taskId)
    return this.send({ type: 'task-ended', taskId, targetId, completion: end, mustRunAgain: again })
  }

  /** Passes time in ticks of 100 ms; every stop asked for ends the task at the next tick when `obeys`. */
  pass (durationMs: number, obeys = true): readonly SchedulerEffect[] {
    const first = this.effects.length
    for (const until = this.now + durationMs; this.now < until;) {
      this.now += 100
      this.send({ type: 'tick' })
      if (obeys) this.obeyStops()
    }
    return this.effects.slice(first)
  }

  /** Ends every task that has been asked to stop. */
  obeyStops (): void {
    for (const [taskId, again] of this.asked) {
      if (this.running.has(taskId)) this.end(taskId, 'stopped', again)
    }
  }

  starts (prefix = ''): readonly string[] {
    return [...this.running.keys()].filter((id) => id.startsWith(prefix))
  }

  rejection (id: string): string | undefined {
    const found = this.effects.find((effect) => effect.type === 'reject' && effect.work === id)
    return found?.type === 'reject' ? found.refusal.reason : undefined
  }
}

type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown ? Omit<Union, Key> : never
