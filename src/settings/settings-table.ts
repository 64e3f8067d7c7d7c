import { INGRESS_TABLE } from '../ingress/ingress-settings.ts'
import type { JsonShape } from '../util/json-shape.ts'
import type { LeafPointer, Setting } from './setting.ts'
import type { Settings } from './settings.ts'

/** JSON pointer of a setting, for example `/member/id`. */
export type SettingPointer = LeafPointer<Settings>

/** Pattern of the names of members, teams, queues and other entries. */
export const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/
const NAME_SHAPE: JsonShape = { type: 'text', format: 'name of up to 63 lower-case letters, digits and hyphens', pattern: NAME_PATTERN }
const ADDRESS_SHAPE: JsonShape = { type: 'text', format: 'IP address and port, 127.0.0.1:8080 or [::1]:8080', pattern: /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:.]{2,45}\]):(?!0\d|0$)(?:[1-5]?\d{1,4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])$/ }
const URL_SHAPE: JsonShape = { type: 'text', format: 'base address, http://127.0.0.1:7001', pattern: /^https?:\/\/[^\s/?#]+(?:\/[^\s?#]*)?$/ }
const FILE_SHAPE: JsonShape = { type: 'text', format: 'path of a PEM file', pattern: /^[^\0]{1,4096}$/ }
const SHA256_SHAPE: JsonShape = { type: 'text', format: 'SHA-256 hash as 64 lower-case hexadecimal digits', pattern: /^[0-9a-f]{64}$/ }
const SEEDS_SHAPE: JsonShape = { type: 'list', max: 100, item: { type: 'record', fields: { id: { shape: NAME_SHAPE }, address: { shape: ADDRESS_SHAPE } } } }

function integerShape (min: number, max: number): JsonShape {
  return { type: 'number', integer: true, min, max }
}

function durationSetting (defaultMs: number, minMs: number, maxMs: number, description: string): Setting {
  return { shape: integerShape(minMs, maxMs), unit: 'ms', default: defaultMs, description }
}

/**
 * All settings by JSON pointer. The checks, the defaults, the help text and docs/settings.md are derived from this table.
 * Its type requires exactly one row for each field of `Settings`.
 */
export const SETTINGS_TABLE: Readonly<Record<SettingPointer, Setting>> = {
  '/member/id': { shape: NAME_SHAPE, description: 'Id of this member, unique in the cell. A replaced entry host needs a new id, unless it is certain that the previous process has ended.' },
  '/member/failureDomain': { shape: NAME_SHAPE, description: 'Failure domain of this entry host.' },
  '/callers/listen': { shape: ADDRESS_SHAPE, default: '127.0.0.1:8080', description: 'Address of the HTTP interface for callers and operators.' },
  '/peers/listen': { shape: ADDRESS_SHAPE, default: '127.0.0.1:8090', description: 'Address on which this member listens for other members.' },
  '/peers/advertise': { shape: ADDRESS_SHAPE, description: 'Address at which other members reach this member; it is written to the roster.' },
  '/peers/seeds': { shape: SEEDS_SHAPE, default: [], description: 'Other members, from which this member requests the roster when it starts. Empty only for the first member of a cell.' },
  '/store/address': { shape: URL_SHAPE, description: "Base address of the platform's key-value service." },
  '/hostList/address': { shape: URL_SHAPE, description: "Base address of the platform's host list." },
  '/groups': { shape: integerShape(1, 1024), default: 4, description: 'Number of groups into which the fleet is divided. It must be the same on every member and must not change while jobs are stored. A gang cannot be larger than one group.' },
  '/operatorKeyHash': { shape: SHA256_SHAPE, description: 'SHA-256 hash of the operator key, which the commands send with `--key`.' },
  '/timings/heartbeatIntervalMs': durationSetting(1000, 100, 10_000, 'Time between heartbeats to each other member.'),
  '/timings/renewalPromiseMs': durationSetting(3000, 500, 60_000, "Validity of a peer's promise to renew an owner."),
  '/timings/storeLeaseMs': durationSetting(4000, 1000, 60_000, 'Duration of the lease of this member in the store.'),
  '/timings/storeLeaseRenewalMs': durationSetting(1000, 100, 20_000, 'Time between renewals of the store lease.'),
  '/timings/taskLeaseMs': durationSetting(20_000, 2000, 600_000, 'Duration of the task lease on targets; a task on an unreachable target is lost when its lease expires.'),
  '/timings/syncWaitMs': durationSetting(8000, 100, 60_000, 'Maximum wait of one `sync` call; the call returns immediately when a task ends.'),
  '/timings/freshnessWindowMs': durationSetting(3000, 500, 60_000, 'Time after its last confirmation during which the configuration counts as fresh.'),
  '/timings/resultRetentionMs': durationSetting(600_000, 1000, 86_400_000, 'Time for which a result is kept to respond to repeated requests.'),
  '/timings/groupCommitGatherMs': durationSetting(50, 0, 1000, 'Time during which writes are collected for one store transaction.'),
  '/timings/pauseThresholdMs': durationSetting(1000, 100, 10_000, 'Minimum delay of the event loop that makes the member recheck its leases.'),
  '/limits/bodyBytes': { shape: integerShape(1024, 16_777_216), unit: 'bytes', default: 1_048_576, description: 'Maximum size of a request body.' },
  '/limits/waitingConnections': { shape: integerShape(1, 1_000_000), unit: 'connections', default: 10_000, description: 'Maximum number of callers that wait for a response on this member; further requests are refused with the verdict `not-run`.' },
  '/limits/urgentReservePercent': { shape: { type: 'number', integer: false, min: 0, max: 50 }, unit: '%', default: 5, description: 'Share of the capacity and of the waiting connections that is reserved for urgent work.' },
  ...INGRESS_TABLE,
  '/tls/certificateFile': { shape: FILE_SHAPE, optional: true, description: 'Certificate of this member for mutual TLS between members.' },
  '/tls/keyFile': { shape: FILE_SHAPE, optional: true, description: 'Private key of the certificate.' },
  '/tls/authorityFile': { shape: FILE_SHAPE, optional: true, description: 'Certificate of the authority that must have signed the certificates of the other members.' },
  '/log/level': { shape: { type: 'choice', options: ['debug', 'info', 'warn', 'error'] }, default: 'info', description: 'Minimum level of the log lines that are written.' }
}
