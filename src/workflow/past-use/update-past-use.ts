import { getUsage, getWeight, log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { CellEvent } from '../event.ts'
import { NO_DEMAND, addDemands } from '../job.ts'
import { formatPastUse, parsePastUse } from './past-use-record.ts'
import type { StoredAccount } from './past-use.ts'

/** Time between two writes of the record, in milliseconds. What a takeover loses is at most the use of this time. */
const STORE_INTERVAL_MS = 10_000
/** Time between two log lines about the accounts, in milliseconds. */
const LOG_INTERVAL_MS = 60_000
/** Organisations in such a line, those that have used most. */
const MAX_LOGGED_ACCOUNTS = 10
const LOGGED_DIGITS = 4

/** Brings the accounts up to date with the capacity of the cell and the weights, and stores and logs them when that is due. */
export function updatePastUse (state: CellState): void {
  const { pastUse, now } = state
  if (!pastUse.enabled) return
  const capacities = [...state.targets.values()].map(({ entry }) => entry.capacity)
  pastUse.setCapacity(capacities.reduce(addDemands, NO_DEMAND))
  for (const organisation of state.usage.keys()) chargePresentUse(state, organisation)
  storePastUse(state)
  logPastUse(state)
  pastUse.prune(now)
}

function chargePresentUse (state: CellState, organisation: string): void {
  state.pastUse.charge({ organisation, usage: getUsage(state, organisation), weight: getWeight(state, organisation), now: state.now })
}

/**
 * Stores the accounts. Until the runs of previous owners are known, the record of the previous owner may not have been read
 * yet and must stay. A record of a cell that has been idle since it was written needs no newer one, because it decays the same
 * way.
 */
function storePastUse (state: CellState): void {
  const { pastUse, now } = state
  const { times } = pastUse
  times.chargedSinceStored ||= pastUse.isCharging
  times.storedAt ??= now
  if (now - times.storedAt < STORE_INTERVAL_MS || state.earlierRunsPossible || !times.chargedSinceStored) return
  times.storedAt = now
  times.chargedSinceStored = false
  const record = { writtenAtMs: getTimeOfDayMs(state), accounts: pastUse.list(now) }
  state.effects.push({ type: 'store-learned', record: 'past-use', value: formatPastUse(record) })
}

function logPastUse (state: CellState): void {
  const { pastUse, now } = state
  const { times } = pastUse
  times.loggedAt ??= now
  if (now - times.loggedAt < LOG_INTERVAL_MS) return
  times.loggedAt = now
  const accounts = pastUse.list(now)
  if (accounts.length > 0) log(state, 'info', 'past-use', { organisations: accounts.length, largest: formatLargest(accounts) })
}

/**
 * Takes over the accounts that a previous owner has stored. They decay for the time of day that has passed since; a record
 * from the future counts as just written, because the clock of one of the two hosts is wrong by an unknown time. Either way
 * all accounts change by the same factor, so that the order among them stays.
 */
export function restorePastUse (state: CellState, { record: name, value }: Extract<CellEvent, { type: 'learned-restored' }>): void {
  if (name !== 'past-use' || !state.pastUse.enabled) return
  const record = parsePastUse(value)
  if (record.isErr()) return log(state, 'warn', 'past-use-unreadable', { reason: record.error, bytes: value.length })
  const { writtenAtMs, accounts } = record.value
  const ageMs = getTimeOfDayMs(state) - writtenAtMs
  state.pastUse.restore(accounts, Math.max(0, ageMs), state.now)
  log(state, 'info', 'past-use-restored', { organisations: accounts.length, ageMs: Math.round(ageMs), largest: formatLargest(accounts) })
}

/** The offset is taken once for each owner, so that a step of its clock doesn't date one record after another differently. */
function getTimeOfDayMs ({ now, options }: CellState): number {
  return now + options.wallClockOffsetMs
}

function formatLargest (accounts: readonly StoredAccount[]): string {
  return accounts.slice(0, MAX_LOGGED_ACCOUNTS).map(({ organisation, past }) => `${organisation}=${past.toFixed(LOGGED_DIGITS)}`).join(',')
}
