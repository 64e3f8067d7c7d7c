import type { CellConfiguration, Organisation, Queue } from './cell-configuration.ts'

/** What the jobs of a queue need of it to be scheduled. */
export type QueueSettings = Omit<Queue, 'host' | 'prefix' | 'isPublic'>

/** What the jobs of an organisation need of it to be scheduled. */
export type OrganisationSettings = Omit<Organisation, 'keys'>

/** Settings that a job refers to, in the version of the configuration under which it was accepted. */
export type JobSettings = {
  readonly version: number
  readonly queue: QueueSettings
  /** Undefined for a job without an organisation, which a public queue accepts. */
  readonly organisation: OrganisationSettings | undefined
}

/**
 * Selects what is stored with a job, so that it goes on after its queue or its organisation was removed.
 *
 * @example
 * const definition = { ...body, settings: selectJobSettings(configuration, queue, organisation) }
 */
export function selectJobSettings ({ version }: CellConfiguration, queue: Queue, organisation: Organisation | undefined): JobSettings {
  return { version, queue: selectQueueSettings(queue), organisation: organisation === undefined ? undefined : selectOrganisationSettings(organisation) }
}

export function selectQueueSettings ({ name, pool, priority, maxAttempts, stretch, latencyObjectiveMs, advice }: Queue): QueueSettings {
  return { name, pool, priority, maxAttempts, stretch, latencyObjectiveMs, advice }
}

export function selectOrganisationSettings ({ name, weight, maximum }: Organisation): OrganisationSettings {
  return { name, weight, maximum }
}
