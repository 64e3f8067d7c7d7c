import type { CellConfiguration } from './cell-configuration.ts'
import { log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { JobDefinition } from '../job.ts'
import { selectOrganisationSettings, selectQueueSettings } from './job-settings.ts'
import type { OrganisationSettings, QueueSettings } from './job-settings.ts'
import { failExhaustedJobs } from '../jobs.ts'
import type { VersionedSettings } from './known-settings.ts'

/** Limit of the stored names of each kind, so that the record fits into one value of the store. */
const MAX_STORED_NAMES = 1_000

/** Last settings of queues and organisations that were removed while jobs refer to them, as stored for a new owner. */
export type RemovedSettings = {
  readonly queues: ReadonlyArray<VersionedSettings<QueueSettings>>
  readonly organisations: ReadonlyArray<VersionedSettings<OrganisationSettings>>
}

type UsedNames = { readonly queues: ReadonlySet<string>, readonly organisations: ReadonlySet<string> }

/** Applies a version of the configuration. What it removes keeps its last settings for the jobs that refer to it. */
export function applyConfiguration (state: CellState, configuration: CellConfiguration): void {
  state.configuration = configuration
  const used = findUsedNames(state)
  const unknownQueues = [...used.queues].filter((name) => state.queues.find(name) === undefined)
  state.queues.configure(configuration.version, configuration.queues.map(selectQueueSettings), used.queues)
  state.organisations.configure(configuration.version, configuration.organisations.map(selectOrganisationSettings), used.organisations)
  storeRemovedSettings(state, used)
  failExhaustedJobs(state, new Set(unknownQueues.filter((name) => state.queues.find(name) !== undefined)))
  state.startPassNeeded = true
}

/** Learns the settings that are stored with a job. */
export function learnJobSettings (state: CellState, { settings }: JobDefinition): void {
  if (settings === undefined) return
  const { version, queue, organisation } = settings
  state.queues.learn({ version, settings: queue })
  if (organisation !== undefined) state.organisations.learn({ version, settings: organisation })
}

/** Stores the settings that a new job refers to if they were removed and are not stored yet. */
export function storeSettingsOf (state: CellState, { queue, organisation }: JobDefinition): void {
  if (state.queues.mustBeStored(queue) || state.organisations.mustBeStored(organisation)) storeRemovedSettings(state, findUsedNames(state))
}

/** Learns the settings that a previous owner has stored. */
export function restoreRemovedSettings (state: CellState, { queues, organisations }: RemovedSettings): void {
  for (const known of queues) {
    state.queues.learn(known)
    state.queues.markStored(known)
  }
  for (const known of organisations) {
    state.organisations.learn(known)
    state.organisations.markStored(known)
  }
}

/** One record has the settings of all names, so that a removal costs one write however many jobs refer to it. */
function storeRemovedSettings (state: CellState, used: UsedNames): void {
  const mustBeStored = [...used.queues].some((name) => state.queues.mustBeStored(name)) || [...used.organisations].some((name) => state.organisations.mustBeStored(name))
  if (!mustBeStored) return
  const queues = state.queues.listRemoved(used.queues)
  const organisations = state.organisations.listRemoved(used.organisations)
  for (const known of queues) state.queues.markStored(known)
  for (const known of organisations) state.organisations.markStored(known)
  state.effects.push({ type: 'store-settings', record: { queues: queues.slice(0, MAX_STORED_NAMES), organisations: organisations.slice(0, MAX_STORED_NAMES) } })
  log(state, 'info', 'removed-settings-stored', { queues: queues.length, organisations: organisations.length })
}

/** Finds the queues and organisations of the active jobs. */
function findUsedNames (state: CellState): UsedNames {
  const queues = new Set<string>()
  const organisations = new Set<string>()
  for (const { active, definition } of state.jobs.values()) {
    if (!active) continue
    queues.add(definition.queue)
    organisations.add(definition.organisation)
  }
  for (const { outline } of state.deferredJobs.list()) {
    queues.add(outline.queue)
    organisations.add(outline.organisation)
  }
  return { queues, organisations }
}
