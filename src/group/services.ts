import type { Configuration, ServiceDefinition } from '../model/configuration.ts'
import type { WorkId } from '../model/ids.ts'
import type { Work } from '../model/work.ts'
import { hash } from '../util/hash.ts'
import { commitJobs } from './commits.ts'
import { schedule } from './apply-scheduler-event.ts'
import type { GroupState } from './state.ts'
import { newWorkEntry } from './work-entry.ts'

/**
 * Starts the services that the configuration defines for this group, and cancels those that it no longer defines. The
 * id of a service's job contains a hash of its definition, so that a changed definition becomes a new job.
 *
 * @example
 * reconcileServices(state, now, 8)
 */
export function reconcileServices (state: GroupState, now: number, groups: number): void {
  if (!state.recovery.ready) return
  const wanted = wantedServices(state.configuration, state.group, groups, now)
  for (const [id, work] of wanted) {
    if (state.works.has(id)) continue
    const refusal = state.scheduler.admission(work)
    if (refusal !== undefined) continue
    const entry = newWorkEntry(work)
    state.works.set(id, entry)
    commitJobs(state, [entry], { type: 'accept', work: id })
  }
  for (const entry of state.works.values()) {
    const { id } = entry.work
    if (!isDefinedService(id) || wanted.has(id) || entry.cancelled || entry.ended) continue
    entry.cancelled = true
    entry.dirty = true
    schedule(state, { type: 'work-cancelled', now, work: id })
  }
}

/**
 * The group that runs a service of the configuration.
 *
 * @example
 * groupOfService('thread-stock', 8)
 */
export function groupOfService (name: string, groups: number): number {
  return hash(`service/${name}`) % groups
}

function wantedServices (configuration: Configuration, group: number, groups: number, now: number): ReadonlyMap<WorkId, Work> {
  const wanted = new Map<WorkId, Work>()
  for (const service of configuration.services.values()) {
    const queue = configuration.queues.get(service.queue)
    if (queue === undefined || groupOfService(service.name, groups) !== group) continue
    const work = serviceWork(service, queue.access.team, group, now)
    wanted.set(work.id, work)
  }
  return wanted
}

function serviceWork (service: ServiceDefinition, team: string, group: number, now: number): Work {
  const version = hash(JSON.stringify(service)).toString(36)
  return {
    id: `g${group}-svc-${service.name}-${version}`,
    kind: 'service',
    count: service.count,
    team,
    queue: service.queue,
    family: service.family,
    resources: service.resources,
    expectedMs: 0,
    urgent: false,
    idempotent: true,
    submittedAt: now,
    payload: service.payload
  }
}

/**
 * Whether the work is a service that the configuration defines; it ends only by a publication without it.
 *
 * @example
 * isDefinedService('g3-svc-thread-stock-1x2y') // true
 */
export function isDefinedService (id: WorkId): boolean {
  return /^g\d+-svc-/.test(id)
}
