import { err, ok, type Result } from 'neverthrow'
import type { StoredAccount } from './past-use.ts'

/** Accounts as stored, and when, in milliseconds since 1970. */
export type PastUseRecord = { readonly writtenAtMs: number, readonly accounts: readonly StoredAccount[] }

/** Why a record is not used. */
export type RecordFault = 'no-json' | 'no-record'

/** Accounts beyond this number, the smallest ones, are not stored: a record of 1,000 has about 30 KB. */
const MAX_ACCOUNTS = 1_000
const MAX_NAME_LENGTH = 256
/** Largest credible account, that of the whole cell under a weight of a millionth. */
const MAX_AMOUNT = 1e6
/** Digits of a stored share; an order that depends on further ones is as good either way. */
const STORED_DIGITS = 9

/**
 * Formats accounts, which are listed largest first, for the store.
 *
 * @example
 * formatPastUse({ writtenAtMs, accounts: [{ organisation: 'zuu', past: 0.2 }] })
 * // '{"writtenAtMs":1765000000000,"accounts":[["zuu",0.2]]}'
 */
export function formatPastUse ({ writtenAtMs, accounts }: PastUseRecord): string {
  const rows = accounts.slice(0, MAX_ACCOUNTS).map(({ organisation, past }) => [organisation, round(past)])
  return JSON.stringify({ writtenAtMs: Math.round(writtenAtMs), accounts: rows })
}

/**
 * Parses a stored record. Damaged accounts are left out, and so is a second one of the same organisation; unknown fields are
 * ignored.
 */
export function parsePastUse (text: string): Result<PastUseRecord, RecordFault> {
  const value = parseJson(text)
  if (value === undefined) return err('no-json')
  const { writtenAtMs, accounts } = (value ?? {}) as Readonly<Record<string, unknown>>
  if (typeof writtenAtMs !== 'number' || !Number.isFinite(writtenAtMs) || !Array.isArray(accounts)) return err('no-record')
  const entries = accounts.slice(0, MAX_ACCOUNTS).flatMap(parseAccount)
  return ok({ writtenAtMs, accounts: [...new Map(entries.map((entry) => [entry.organisation, entry])).values()] })
}

function parseAccount (row: unknown): readonly StoredAccount[] {
  if (!Array.isArray(row)) return []
  const [organisation, past] = row as readonly unknown[]
  if (typeof organisation !== 'string' || organisation.length > MAX_NAME_LENGTH) return []
  return isAmount(past) ? [{ organisation, past }] : []
}

function isAmount (value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= MAX_AMOUNT
}

function round (value: number): number {
  return Number(value.toPrecision(STORED_DIGITS))
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
