import type { JsonShape } from '../util/json-shape.ts'
import type { Settings } from './settings.ts'

/** One setting; without a default it is required unless `optional`. */
export type Setting = {
  readonly shape: JsonShape
  readonly unit?: string
  readonly default?: unknown
  readonly optional?: boolean
  readonly description: string
}

/** JSON pointers of all leaves of a type. */
type Leaves<Value, Path extends string = ''> = {
  [Name in keyof Value & string]-?: NonNullable<Value[Name]> extends string | number | boolean | readonly unknown[]
    ? `${Path}/${Name}`
    : Leaves<NonNullable<Value[Name]>, `${Path}/${Name}`>
}[keyof Value & string]

export type SettingPointer = Leaves<Settings>

export const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/
const NAME: JsonShape = { type: 'text', format: 'name of up to 63 lower-case letters, digits and hyphens', pattern: NAME_PATTERN }
const ADDRESS: JsonShape = { type: 'text', format: 'IP address and port, 127.0.0.1:8080 or [::1]:8080', pattern: /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:.]{2,45}\]):(?!0\d|0$)(?:[1-5]?\d{1,4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])$/ }
const URL_TEXT: JsonShape = { type: 'text', format: 'base address, http://127.0.0.1:7001', pattern: /^https?:\/\/[^\s/?#]+(?:\/[^\s?#]*)?$/ }
const FILE: JsonShape = { type: 'text', format: 'path of a PEM file', pattern: /^[^\0]{1,4096}$/ }
const SHA256: JsonShape = { type: 'text', format: 'SHA-256 hash as 64 lower-case hexadecimal digits', pattern: /^[0-9a-f]{64}$/ }
const SEEDS: JsonShape = { type: 'list', max: 100, item: { type: 'record', fields: { id: { shape: NAME }, address: { shape: ADDRESS } } } }

function whole (min: number, max: number): JsonShape {
  return { type: 'number', integer: true, min, max }
}

function time (defaultMs: number, min: number, max: number, description: string): Setting {
  return { shape: whole(min, max), unit: 'ms', default: defaultMs, description }
}

/**
 * Every setting by JSON pointer. The table drives the checker, the defaults, the help text and docs/settings.md;
 * its type requires exactly one row for each field of `Settings`.
 */
export const SETTINGS_TABLE: Readonly<Record<SettingPointer, Setting>> = {
  '/member/id': { shape: NAME, description: 'Id of this member; unique in the cell. Use a new id for a replaced entry host, or the same id if the old process has certainly ended.' },
  '/member/failureDomain': { shape: NAME, description: 'Failure domain of this entry host.' },
  '/callers/listen': { shape: ADDRESS, default: '127.0.0.1:8080', description: 'Address of the HTTP interface for callers and operators.' },
  '/peers/listen': { shape: ADDRESS, default: '127.0.0.1:8090', description: 'Address on which this member listens for other members.' },
  '/peers/advertise': { shape: ADDRESS, description: 'Address at which other members reach this one; it is written to the roster.' },
  '/peers/seeds': { shape: SEEDS, default: [], description: 'Other members, asked for the roster at the start. Empty only for the first member of a cell.' },
  '/store/address': { shape: URL_TEXT, description: "Base address of the platform's key-value service." },
  '/hostList/address': { shape: URL_TEXT, description: "Base address of the platform's host list." },
  '/groups': { shape: whole(1, 1024), default: 4, description: 'Number of groups that the fleet is divided into. It must be the same on every member and never changes while jobs are stored. A gang cannot be larger than one group.' },
  '/operatorKeyHash': { shape: SHA256, description: 'SHA-256 hash of the operator key, which the commands send with `--key`.' },
  '/timings/heartbeatIntervalMs': time(1000, 100, 10_000, 'Time between heartbeats to each other member.'),
  '/timings/renewalPromiseMs': time(3000, 500, 60_000, "Length of a peer's promise to renew an owner."),
  '/timings/storeLeaseMs': time(4000, 1000, 60_000, "Length of the member's lease in the store."),
  '/timings/storeLeaseRenewalMs': time(1000, 100, 20_000, 'Time between renewals of the store lease.'),
  '/timings/taskLeaseMs': time(20_000, 2000, 600_000, 'Length of the task lease on targets; a task of an unreachable target is lost after it.'),
  '/timings/syncWaitMs': time(8000, 100, 60_000, 'Longest wait of one `sync` call; it ends at once when a task ends.'),
  '/timings/freshnessWindowMs': time(3000, 500, 60_000, 'Time after the last confirmation for which the configuration counts as fresh.'),
  '/timings/resultRetentionMs': time(600_000, 1000, 86_400_000, 'Time for which a result is kept for repeated requests.'),
  '/timings/groupCommitGatherMs': time(50, 0, 1000, 'Time for which writes are gathered into one store transaction.'),
  '/timings/pauseThresholdMs': time(1000, 100, 10_000, 'Lateness of the event loop from which the member rechecks its leases.'),
  '/limits/bodyBytes': { shape: whole(1024, 16_777_216), unit: 'bytes', default: 1_048_576, description: 'Largest request body.' },
  '/limits/waitingConnections': { shape: whole(1, 1_000_000), unit: 'connections', default: 10_000, description: 'Most callers that may wait for an answer on this member; further ones are refused with the verdict `not-run`.' },
  '/limits/urgentReservePercent': { shape: { type: 'number', integer: false, min: 0, max: 50 }, unit: '%', default: 5, description: 'Part of the capacity and of the waiting connections that is kept for urgent work.' },
  '/tls/certificateFile': { shape: FILE, optional: true, description: 'Certificate of this member for mutual TLS between members.' },
  '/tls/keyFile': { shape: FILE, optional: true, description: 'Private key of the certificate.' },
  '/tls/authorityFile': { shape: FILE, optional: true, description: 'Certificate authority that the other members must be signed by.' },
  '/log/level': { shape: { type: 'choice', options: ['debug', 'info', 'warn', 'error'] }, default: 'info', description: 'Lowest level of log lines that are written.' }
}
