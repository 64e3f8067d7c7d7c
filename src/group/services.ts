import type { Configuration, ServiceDefinition } from '../model/configuration.ts'
import type { WorkId } from '../model/ids.ts'
import type { Work } from '../model/work.ts'
import { hash } from '../util/hash.ts'
import { commitJobs } from './commits.ts'
import { applySchedulerEvent } from './apply-scheduler-event.ts'
import type { GroupState } from './state.ts'
import { createWorkEntry } from './work-entry.ts'

/**
 * Submits the services that the configuration defines for this group and cancels those that it no longer defines. The
 * job id of a service contains a hash of its definition, so that a changed definition becomes a new job.
 *
 * @example
 * reconcileServices(state, now, 8)
 */
export function reconcileServices (state: GroupState, now: number, groupCount: number): void {
  if (!state.recovery.ready) return
  const definedServices = buildDefinedServices(state.configuration, state.group, groupCount, now)
  for (const [id, work] of definedServices) {
    if (state.workEntries.has(id)) continue
    const refusal = state.scheduler.admission(work)
    if (refusal !== undefined) continue
    const entry = createWorkEntry(work)
    state.workEntries.set(id, entry)
    commitJobs(state, [entry], { type: 'accept', work: id })
  }
  for (const entry of state.workEntries.values()) {
    const { id } = entry.work
    if (!isDefinedService(id) || definedServices.has(id) || entry.cancelled || entry.ended) continue
    entry.cancelled = true
    entry.dirty = true
    applySchedulerEvent(state, { type: 'work-cancelled', now, work: id })
  }
}

/**
 * Returns the group that runs a service of the configuration.
 *
 * @example
 * computeServiceGroup('thread-stock', 8)
 */
export function computeServiceGroup (name: string, groupCount: number): number {
  return hash(`service/${name}`) % groupCount
}

function buildDefinedServices (configuration: Configuration, group: number, groupCount: number, now: number): ReadonlyMap<WorkId, Work> {
  const services = new Map<WorkId, Work>()
  for (const service of configuration.services.values()) {
    const queue = configuration.queues.get(service.queue)
    if (queue === undefined || computeServiceGroup(service.name, groupCount) !== group) continue
    const work = buildServiceWork(service, queue.access.team, group, now)
    services.set(work.id, work)
  }
  return services
}

function buildServiceWork (service: ServiceDefinition, team: string, group: number, now: number): Work {
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
 * Returns whether the work is a service that the configuration defines; it ends only when a revision without it is
 * published.
 *
 * @example
 * isDefinedService('g3-svc-thread-stock-1x2y') // true
 */
export function isDefinedService (id: WorkId): boolean {
  return /^g\d+-svc-/.test(id)
}
