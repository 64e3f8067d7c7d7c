import type { Epoch, FailureDomainName, GroupNumber, MemberId, Revision } from '../model/ids.ts'
import type { ConfigurationRevision } from '../model/configuration.ts'
import type { Roster } from '../model/peer.ts'
import type { LeaseId } from '../ports/store.ts'

/** Value of `members/<id>`. */
export type MemberRecord = {
  readonly incarnation: string
  readonly address: string
  readonly failureDomain: FailureDomainName
  readonly lease: LeaseId
}

/** Value of `groups/<group>`. */
export type GroupRecord = { readonly owner: MemberId, readonly incarnation: string, readonly epoch: Epoch }

export const ROSTER_KEY = 'roster'
export const MEMBERS_PREFIX = 'members/'
export const GROUPS_PREFIX = 'groups/'
/** Revision keys have ten digits, so this prefix excludes `configuration/snapshot/`. */
export const REVISIONS_PREFIX = 'configuration/0'
/** Holds the newest revision, so that a publisher that is far behind cannot create a deleted old revision again. */
export const HEAD_KEY = 'configuration/head'
export const SNAPSHOT_PREFIX = 'configuration/snapshot/'

export function memberKey (member: MemberId): string {
  return `${MEMBERS_PREFIX}${member}`
}

export function groupKey (group: GroupNumber): string {
  return `${GROUPS_PREFIX}${group}`
}

/**
 * Returns the key of a configuration revision, padded with zeros so that keys sort in the order of revisions.
 *
 * @example
 * revisionKey(17) // 'configuration/0000000017'
 */
export function revisionKey (revision: Revision): string {
  return `configuration/${String(revision).padStart(10, '0')}`
}

/** Formats the value of `configuration/head`. */
export function formatHead (revision: Revision, author: string): string {
  return JSON.stringify({ revision, author })
}

/** Value of `configuration/head`. */
export type HeadRecord = { readonly revision: Revision, readonly author: string }

export function parseHead (value: string): HeadRecord | undefined {
  return parseRecord<HeadRecord>(value, (record) => typeof record.revision === 'number')
}

export function parseMemberRecord (value: string): MemberRecord | undefined {
  return parseRecord<MemberRecord>(value, (record) => typeof record.incarnation === 'string' && typeof record.address === 'string')
}

export function parseGroupRecord (value: string): GroupRecord | undefined {
  return parseRecord<GroupRecord>(value, (record) => typeof record.owner === 'string' && typeof record.epoch === 'number')
}

export function parseRoster (value: string): Roster | undefined {
  return parseRecord<Roster>(value, (record) => typeof record.revision === 'number' && Array.isArray(record.members))
}

export function parseRevision (value: string): ConfigurationRevision | undefined {
  return parseRecord<ConfigurationRevision>(value, (record) => typeof record.revision === 'number' && Array.isArray(record.changes))
}

function parseRecord<Value> (text: string, isValid: (value: Value) => boolean): Value | undefined {
  try {
    const value: Value = JSON.parse(text)
    return typeof value === 'object' && value !== null && isValid(value) ? value : undefined
  } catch {
    return undefined
  }
}
