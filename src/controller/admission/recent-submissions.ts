/** Submissions that ended longer ago than this, in milliseconds, are forgotten: a caller that got no answer comes back earlier. */
const MEMORY_MS = 30_000
/** Number of submissions that are remembered. */
const MAX_SUBMISSIONS = 20_000

/** How far an attempt to store a job came. */
export type AttemptOutcome = 'stored' | 'not-stored' | 'unknown'

/** What is known of the earlier attempts to store a job: `may-be-stored` includes one that goes on. */
export type EarlierAttempts = 'none' | 'may-be-stored' | 'stored'

type Submission = { pending: number, state: EarlierAttempts, changedAt: number }

/** The jobs that this member has tried to store of late. Their callers may have had no answer, and submit them again. */
export class RecentSubmissions {
  /** By job, the one that changed last at the end. */
  private readonly submissions = new Map<string, Submission>()

  private constructor (private readonly now: () => number) {}

  /**
   * Creates a list without submissions.
   *
   * @example
   * const submissions = RecentSubmissions.create()
   * submissions.begin('00000000000000a1')
   * submissions.end('00000000000000a1', 'unknown')
   * submissions.find('00000000000000a1') // 'may-be-stored'
   */
  static create (now: () => number = () => performance.now()): RecentSubmissions {
    return new RecentSubmissions(now)
  }

  /** Finds what is known of the attempts to store a job. */
  find (id: string): EarlierAttempts {
    const submission = this.submissions.get(id)
    if (submission === undefined || this.isOutdated(submission)) return 'none'
    return submission.state === 'none' && submission.pending > 0 ? 'may-be-stored' : submission.state
  }

  /** Makes an attempt to store a job and records how it ends; an error leaves its outcome unknown. */
  async track<Outcome> (id: string, attempt: () => Promise<Outcome>, toAttemptOutcome: (outcome: Outcome) => AttemptOutcome): Promise<Outcome> {
    this.begin(id)
    let ended: AttemptOutcome = 'unknown'
    try {
      const outcome = await attempt()
      ended = toAttemptOutcome(outcome)
      return outcome
    } finally {
      this.end(id, ended)
    }
  }

  /** Records that an attempt to store a job begins. */
  begin (id: string): void {
    const { pending = 0, state = 'none' } = this.submissions.get(id) ?? {}
    this.set(id, { pending: pending + 1, state, changedAt: this.now() })
    this.removeOutdated()
  }

  /** Records the end of an attempt. */
  end (id: string, outcome: AttemptOutcome): void {
    const { pending, state } = this.submissions.get(id) ?? { pending: 1, state: 'none' }
    const next = combine(state, outcome)
    if (next === 'none' && pending === 1) this.submissions.delete(id)
    else this.set(id, { pending: pending - 1, state: next, changedAt: this.now() })
  }

  private set (id: string, submission: Submission): void {
    this.submissions.delete(id)
    this.submissions.set(id, submission)
  }

  private removeOutdated (): void {
    for (const [id, submission] of this.submissions) {
      if (this.submissions.size <= MAX_SUBMISSIONS && !this.isOutdated(submission)) return
      this.submissions.delete(id)
    }
  }

  private isOutdated ({ pending, changedAt }: Submission): boolean {
    return pending === 0 && this.now() - changedAt > MEMORY_MS
  }
}

function combine (state: EarlierAttempts, outcome: AttemptOutcome): EarlierAttempts {
  if (state === 'stored' || outcome === 'stored') return 'stored'
  return outcome === 'unknown' ? 'may-be-stored' : state
}
