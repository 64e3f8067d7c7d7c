import type { CommitWrite } from './effect.ts'
import { jobKey } from './job-record.ts'
import { nextId, type CommitPurpose, type GroupState } from './state.ts'
import { toJobRecord, type WorkEntry } from './work-entry.ts'

/**
 * Asks for the next group commit to write a job's present record.
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
  commit(state, writes, purpose)
}

/**
 * Asks for the next group commit to contain these writes.
 *
 * @example
 * commit(state, [{ type: 'delete', key }], { type: 'forget' })
 */
export function commit (state: GroupState, writes: readonly CommitWrite[], purpose: CommitPurpose): void {
  const commitId = nextId(state)
  state.commits.set(commitId, purpose)
  state.outbox.push({ type: 'commit', commitId, writes })
}
