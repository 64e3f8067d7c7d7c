import type { StoreEntry } from '../../ports/store.ts'
import { CLOCK_DRIFT_FACTOR } from '../../workflow/takeover/earlier-lapse.ts'
import type { SilentTarget, SilentTargetsById } from '../../workflow/takeover/silent-targets.ts'
import { SILENT_TARGETS_KEY } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'

/** Longer than any leases go on after a target has fallen silent, in milliseconds. */
const MAX_WAIT_MS = 60_000

/** `endsInMs`: how long the leases on the target go on at most, from the writing of the record. */
type StoredTarget = { readonly incarnation: number, readonly endsInMs: number, readonly isCommanded?: true, readonly countsUnheard?: true }

/**
 * The targets that get no leases and no starts, as stored under `lead/silent`. It holds for as long as the last commit is of its
 * term: the leader of another term has promised nothing.
 */
type SilentTargetsRecord = { readonly term: number, readonly targets: Readonly<Record<string, unknown>> }

/**
 * Formats the record of a term. Waits are measured from `now`, which comes before the record is written.
 *
 * @example
 * formatSilentTargets(3, { t1: { incarnation: 7, leasesEndAt: 1_500 } }, 1_000) // {"term":3,"targets":{"t1":{"incarnation":7,"endsInMs":500}}}
 */
export function formatSilentTargets (term: number, targets: SilentTargetsById, now: number): string {
  const stored = Object.entries(targets).map(([id, { incarnation, leasesEndAt, isCommanded, countsUnheard }]): [string, StoredTarget] => [id, { incarnation, endsInMs: Math.max(0, Math.ceil(leasesEndAt - now)), ...isCommanded === true && { isCommanded }, ...countsUnheard === true && { countsUnheard } }])
  return JSON.stringify({ term, targets: Object.fromEntries(stored) } satisfies SilentTargetsRecord)
}

/** Reads the records of silent targets and counts what they say from when this process first saw each of them. */
export class SilentTargetsReader {
  /** The last version of the record, and when it was first seen, on the monotonic clock. */
  private seen: { readonly version: number, readonly at: number } | undefined

  private constructor (private readonly now: () => number) {}

  /**
   * Creates a reader that has seen no record.
   *
   * @example
   * const reader = SilentTargetsReader.create()
   * reader.see(entries)
   * const targets = reader.read(entry, term)
   */
  static create (now = (): number => performance.now()): SilentTargetsReader {
    return new SilentTargetsReader(now)
  }

  /** Notes the record among entries that were read. */
  see (entries: readonly StoreEntry[]): void {
    const last = entries.findLast(({ key }) => key === SILENT_TARGETS_KEY)
    if (last !== undefined && last.version > (this.seen?.version ?? 0)) this.seen = { version: last.version, at: this.now() }
  }

  /** Returns the targets of the record that was read, if it is of the term of the last commit, with times on the monotonic clock. */
  read (entry: StoreEntry | undefined, lastTerm: number | undefined): SilentTargetsById {
    if (entry === undefined) return {}
    this.see([entry])
    const record = parseRecord(entry.value, isSilentTargetsRecord)
    if (record === undefined || record.term !== lastTerm) return {}
    const seenAt = this.seen?.version === entry.version ? this.seen.at : this.now()
    return Object.fromEntries(Object.entries(record.targets).flatMap(([id, stored]): Array<[string, SilentTarget]> => {
      if (!isStoredTarget(stored)) return []
      return [[id, { incarnation: stored.incarnation, leasesEndAt: seenAt + stored.endsInMs * CLOCK_DRIFT_FACTOR, ...stored.isCommanded === true && { isCommanded: true as const }, ...stored.countsUnheard === true && { countsUnheard: true as const } }]]
    }))
  }
}

function isSilentTargetsRecord (content: unknown): content is SilentTargetsRecord {
  return isObject(content) && Number.isSafeInteger(content.term) && isObject(content.targets)
}

function isStoredTarget (content: unknown): content is StoredTarget {
  if (!isObject(content)) return false
  const { incarnation, endsInMs, isCommanded } = content
  return Number.isSafeInteger(incarnation) && typeof endsInMs === 'number' && endsInMs >= 0 && endsInMs <= MAX_WAIT_MS && (isCommanded === undefined || isCommanded === true)
}

function isObject (content: unknown): content is Readonly<Record<string, unknown>> {
  return typeof content === 'object' && content !== null && !Array.isArray(content)
}
