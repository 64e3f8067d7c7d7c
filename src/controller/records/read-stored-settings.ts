import type { StoreEntry } from '../../ports/store.ts'
import type { CellEvent } from '../../workflow/event.ts'
import { isRemovedOrganisation, isRemovedQueue } from './record-guards.ts'
import { SETTINGS_KEY } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'

type SettingsLists = { readonly queues?: unknown, readonly organisations?: unknown }

/**
 * Converts the settings that previous leaders have stored into events of the scheduler. Unreadable ones are left out and
 * reported with their key.
 *
 * @example
 * for (const event of readStoredSettings(state.entries, report)) scheduler.apply(event, now)
 */
export function readStoredSettings (entries: ReadonlyArray<Pick<StoreEntry, 'key' | 'value'>>, report: (key: string) => void): readonly CellEvent[] {
  const stored = entries.find(({ key }) => key === SETTINGS_KEY)
  if (stored === undefined) return []
  const lists = parseRecord<SettingsLists>(stored.value)
  const queues = readList(lists?.queues, isRemovedQueue)
  const organisations = readList(lists?.organisations, isRemovedOrganisation)
  if (!queues.complete || !organisations.complete) report(SETTINGS_KEY)
  return [{ type: 'settings-restored', record: { queues: queues.readable, organisations: organisations.readable } }]
}

function readList<Content> (list: unknown, isValid: (content: unknown) => content is Content): { readonly readable: readonly Content[], readonly complete: boolean } {
  if (!Array.isArray(list)) return { readable: [], complete: false }
  const readable = list.filter(isValid)
  return { readable, complete: readable.length === list.length }
}
