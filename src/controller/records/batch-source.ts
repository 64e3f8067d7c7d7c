import type { LearnedRecord } from '../../workflow/learned-records.ts'
import type { RemovedSettings } from '../../workflow/settings/removed-settings.ts'
import type { SilentTargetsById } from '../../workflow/takeover/silent-targets.ts'
import type { TargetsRecord } from './store-keys.ts'

/** What a batch was made of, so that it can be divided. */
export type BatchSource = {
  readonly jobs: readonly string[]
  readonly removedProgress: readonly string[]
  readonly targets: TargetsRecord | undefined
  readonly settings: RemovedSettings | undefined
  readonly silentTargets: SilentTargetsById | undefined
  readonly learned: ReadonlyMap<LearnedRecord, string>
}

/** Counts the records that a batch stores or removes, besides that of the term. */
export function countRecords ({ jobs, removedProgress, targets, settings, silentTargets, learned }: BatchSource): number {
  return jobs.length + removedProgress.length + learned.size + [targets, settings, silentTargets].filter((record) => record !== undefined).length
}
