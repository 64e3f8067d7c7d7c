import type { CommitWrite } from './effect.ts'
import { jobKey } from './job-record.ts'
import { nextId, type CommitPurpose, type GroupState } from './state.ts'
import { toJobRecord, type WorkEntry } from './work-entry.ts'

/**
 * Writes the current records of jobs in the next group commit.
 *
 * @example
 * commitJobs(state, [entry], { type: 'accept', work: entry.work.id })
 */
export function commitJobs (state: GroupState, entries: readonly WorkEntry[], purpose: CommitPurpose): void {
  const writes = entries.map((entry): CommitWrite => ({
    type: 'put',
    key: jobKey(state.group, entry.work.id),
    value: JSON.stringify(toJobRecord(entry))
  }))
  commitWrites(state, writes, purpose)
}

/**
 * Adds the writes to the next group commit; `purpose` says how its outcome is handled.
 *
 * @example
 * commitWrites(state, [{ type: 'delete', key }], { type: 'forget' })
 */
export function commitWrites (state: GroupState, writes: readonly CommitWrite[], purpose: CommitPurpose): void {
  const commitId = nextId(state)
  state.pendingCommits.set(commitId, purpose)
  state.outbox.push({ type: 'commit', commitId, writes })
}
