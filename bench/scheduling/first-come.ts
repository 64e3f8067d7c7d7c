import type { TaskId, TeamName, WorkId } from '../../src/model/ids.ts'
import { formatTaskId, parseWorkId } from '../../src/model/ids.ts'
import type { Resources } from '../../src/model/resources.ts'
import { taskCount, type Work } from '../../src/model/work.ts'
import { type MutableResources, fitsWithinLimit, addScaled, createZeroResources } from '../../src/scheduling/mutable-resources.ts'
import type { SchedulerEffect } from '../../src/scheduling/effect.ts'
import type { SchedulerEvent } from '../../src/scheduling/event.ts'

type Place = { readonly id: string, readonly capacity: Resources, readonly domain: string, live: boolean, readonly used: MutableResources }
type Waiting = { readonly id: TaskId, readonly work: Work }

/**
 * Baseline: tasks start in the order of their arrival on the first target with room. The first task that does not fit
 * makes all later ones wait. Team grants and failure domains are respected; there are no shares, no preemption and no
 * quarantine, and gangs are started task by task.
 */
export class FirstCome {
  private readonly places: Place[] = []
  private readonly out = new Set<string>()
  private readonly grants = new Map<TeamName, Resources>()
  private readonly used = new Map<TeamName, MutableResources>()
  private readonly running = new Map<TaskId, { readonly place: Place, readonly work: Work }>()
  private readonly cancelled = new Set<WorkId>()
  private queue: Waiting[] = []
  private head = 0

  apply (event: SchedulerEvent): readonly SchedulerEffect[] {
    switch (event.type) {
      case 'grant-changed': this.grants.set(event.team, event.amount); break
      case 'target-upserted': this.upsert(event); break
      case 'domain-changed':
        if (event.state === 'out') this.out.add(event.failureDomain)
        else this.out.delete(event.failureDomain)
        break
      case 'work-submitted':
        for (let index = 0; index < taskCount(event.work); index += 1) this.queue.push({ id: formatTaskId(event.work.id, index), work: event.work })
        break
      case 'task-ended': this.end(event.taskId, event.mustRunAgain); break
      case 'work-cancelled': this.cancelled.add(event.work); break
      default:
    }
    return this.place(event.type === 'tick' ? 256 : 16)
  }

  private upsert ({ target }: SchedulerEvent & { readonly type: 'target-upserted' }): void {
    const known = this.places.find(({ id }) => id === target.id)
    if (known !== undefined) known.live = target.state === 'live'
    else this.places.push({ id: target.id, capacity: target.capacity, domain: target.failureDomain, live: target.state === 'live', used: createZeroResources() })
  }

  private end (taskId: TaskId, again: boolean): void {
    const entry = this.running.get(taskId)
    if (entry === undefined) return
    this.running.delete(taskId)
    addScaled(entry.place.used, entry.work.resources, -1)
    addScaled(this.usedBy(entry.work.team), entry.work.resources, -1)
    if (again && !this.cancelled.has(parseWorkId(taskId))) this.queue.push({ id: taskId, work: entry.work })
  }

  private usedBy (team: TeamName): MutableResources {
    const known = this.used.get(team) ?? createZeroResources()
    this.used.set(team, known)
    return known
  }

  private place (limit: number): readonly SchedulerEffect[] {
    const effects: SchedulerEffect[] = []
    while (effects.length < limit && this.head < this.queue.length) {
      const { id, work } = this.queue[this.head]!
      const grant = this.grants.get(work.team) ?? createZeroResources()
      const place = this.cancelled.has(work.id) || !fitsWithinLimit(work.resources, this.usedBy(work.team), grant) ? undefined : this.firstFit(work.resources)
      if (place === undefined && !this.cancelled.has(work.id)) break
      this.head += 1
      if (place === undefined) continue
      addScaled(place.used, work.resources, 1)
      addScaled(this.usedBy(work.team), work.resources, 1)
      this.running.set(id, { place, work })
      effects.push({ type: 'start', taskId: id, targetId: place.id })
    }
    if (this.head > 10_000 && this.head * 2 > this.queue.length) {
      this.queue = this.queue.slice(this.head)
      this.head = 0
    }
    return effects
  }

  private firstFit (wanted: Resources): Place | undefined {
    return this.places.find(({ live, domain, used, capacity }) => live && !this.out.has(domain) && fitsWithinLimit(wanted, used, capacity))
  }
}
