import type { Random } from '../src/util/random.ts'
import { assertNever } from '../src/util/assert-never.ts'

/** A step of a submitted job, with the properties that the checks need. */
export type SoakStep = {
  readonly count: number
  readonly cpuMillis: number
  /** The step before, if it must be done first. */
  readonly after?: number
  readonly gang?: boolean
  readonly speculative?: boolean
  readonly longRunning?: boolean
  /** Most tasks of one occurrence on one worker; undefined if there is no limit. */
  readonly perTargetLimit?: number
}

/** A submitted job. Occurrence k is due at `firstAtMs` + k x `intervalMs`, in the time of `performance.now`. */
export type SoakJob = {
  readonly id: string
  readonly steps: readonly SoakStep[]
  readonly maxAttempts: number
  readonly occurrences: number
  readonly firstAtMs: number
  readonly intervalMs: number
}

/**
 * Kinds of jobs. `plain`: one or two steps of a few tasks. `long`: a few tasks of 8 to 15 s. `wide`: short steps of up to 36 tasks. `saved`: two steps that
 * checkpoint their work. `gang`: tasks that work only together. `lasting`: tasks that run until their caller cancels them.
 * `repeated`: several occurrences, some of which overlap. `copied`: tasks of which copies may run.
 */
export type SoakJobKind = 'plain' | 'long' | 'wide' | 'saved' | 'gang' | 'lasting' | 'repeated' | 'copied'

/** The kinds from which jobs are drawn; those that are listed more often are drawn more often. */
const JOB_KINDS: readonly SoakJobKind[] = ['plain', 'plain', 'plain', 'wide', 'wide', 'wide', 'saved', 'saved', 'gang', 'lasting', 'repeated', 'copied']
/** Kinds that are drawn only where they are named: others would change the jobs of all seeds. */
const NAMED_KINDS: readonly SoakJobKind[] = ['long']

/** A job with the body of its submission and what its caller does with it. */
export type SoakSubmission = {
  readonly kind: SoakJobKind
  readonly job: SoakJob
  readonly body: unknown
  /** Time from the acceptance to the cancellation; undefined if the job is not cancelled. */
  readonly cancelAfterMs: number | undefined
  /** Whether the job may instead run until the traffic is over, if there is room for it. */
  readonly mayOutlastTraffic: boolean
}

type StepPlan = SoakStep & { readonly ms?: number, readonly failsAfterMs?: number, readonly checkpoints?: boolean }
type JobPlan = { readonly steps: readonly StepPlan[], readonly occurrences?: number, readonly delayMs?: number, readonly intervalMs?: number, readonly cancelAfterMs?: number, readonly mayOutlastTraffic?: boolean }

const PLAIN_CPU_MILLIS = 1_500
const CPU_MILLIS = { min: 200, spread: 600 } as const
/** Ratio of jobs whose tasks always fail. */
const FAILING_JOBS_RATIO = 0.06
/** Ratio of jobs that their callers cancel. */
const CANCELLED_JOBS_RATIO = 0.08
/** Ratio of plain jobs whose tasks last longer than a takeover. */
const LONG_JOBS_RATIO = 0.3
/** Ratio of wide steps with a limit per worker. */
const LIMITED_STEPS_RATIO = 0.3
const SHORT_TASK_MS = { min: 80, spread: 1_500 } as const
const LONG_TASK_MS = { min: 2_000, spread: 4_000 } as const
const VERY_LONG_TASK_MS = { min: 8_000, spread: 7_000 } as const
const REPEATED_TASK_MS = { min: 200, spread: 1_600 } as const
const CANCEL_DELAY_MS = { min: 200, spread: 1_500 } as const
/** Time after which each run of a task that lasts fails, in a job whose tasks do. */
const FAILING_LASTING_TASK_MS = 5_000
/** Ratio of the jobs that last that may do so until the traffic is over. */
const OUTLASTING_JOBS_RATIO = 0.75
/** Bounds of the time after which the others are cancelled. */
const LASTING_JOB_MS = { min: 3_000, spread: 6_000 } as const
const FIRST_OCCURRENCE_MS = { min: 0, spread: 1_500 } as const
const INTERVAL_MS = { min: 400, spread: 1_600 } as const
const MAX_WIDTH = 36

/**
 * Creates a random job, of one of `kinds` if there are any. The same sequence of random numbers gives the same job.
 *
 * @example
 * createSoakJob(Random.create(7), 'a1', { maxAttempts: 2, needsTicket: false, kinds: ['gang'] })
 */
export function createSoakJob (random: Random, id: string, options: { readonly maxAttempts: number, readonly needsTicket: boolean, readonly kinds?: readonly string[] }): SoakSubmission {
  const { maxAttempts, needsTicket, kinds = [] } = options
  const candidates = kinds.length === 0 ? JOB_KINDS : [...JOB_KINDS, ...NAMED_KINDS].filter((candidate) => kinds.includes(candidate))
  const kind = candidates[random.nextInt(candidates.length)]!
  const fails = random.next() < FAILING_JOBS_RATIO
  const isCancelled = random.next() < CANCELLED_JOBS_RATIO
  const cancelDelayMs = draw(random, CANCEL_DELAY_MS)
  const { steps, occurrences = 1, delayMs = 0, intervalMs = 0, cancelAfterMs = isCancelled ? cancelDelayMs : undefined, mayOutlastTraffic = false } = createPlan(kind, random)
  const job: SoakJob = { id, steps, maxAttempts, occurrences, firstAtMs: performance.now() + delayMs, intervalMs }
  const spec = JSON.stringify({ steps: steps.map(({ ms, failsAfterMs = ms, count, gang, checkpoints }) => ({ ms: fails ? failsAfterMs : ms, fails, checkpoints, needsTicket, ...(gang === true ? { gangSize: count } : {}) })) })
  const times = occurrences > 1 ? { repeatCount: occurrences, firstMs: Math.ceil(Date.now() + delayMs), intervalMs } : {}
  return { kind, job, cancelAfterMs, mayOutlastTraffic, body: { spec, steps: steps.map(createStepBody), ...times } }
}

function createPlan (kind: SoakJobKind, random: Random): JobPlan {
  switch (kind) {
    case 'plain': {
      const ms = draw(random, random.next() < LONG_JOBS_RATIO ? LONG_TASK_MS : SHORT_TASK_MS)
      const counts = Array.from({ length: 1 + random.nextInt(2) }, () => 1 + random.nextInt(4))
      return { steps: counts.map((count, index) => ({ count, cpuMillis: PLAIN_CPU_MILLIS, ms, ...(index === 0 ? {} : { after: index - 1 }) })) }
    }
    case 'long': return { steps: [{ count: 1 + random.nextInt(4), cpuMillis: PLAIN_CPU_MILLIS, ms: draw(random, VERY_LONG_TASK_MS) }] }
    case 'wide': {
      const counts = Array.from({ length: 1 + random.nextInt(2) }, () => drawWidth(random))
      const perTargetLimit = random.next() < LIMITED_STEPS_RATIO ? 1 + random.nextInt(3) : undefined
      return { steps: counts.map((count, index) => ({ count, cpuMillis: draw(random, CPU_MILLIS), ms: draw(random, SHORT_TASK_MS), ...(index === 0 ? {} : { after: index - 1 }), ...(perTargetLimit === undefined ? {} : { perTargetLimit: Math.max(perTargetLimit, Math.ceil(count / 4)) }) })) }
    }
    case 'saved': return { steps: [0, 1].map((index) => ({ count: 1 + random.nextInt(8), cpuMillis: draw(random, CPU_MILLIS), ms: draw(random, LONG_TASK_MS), checkpoints: true, ...(index === 0 ? {} : { after: 0 }) })) }
    case 'gang': return { steps: [{ count: 2 + random.nextInt(5), cpuMillis: draw(random, CPU_MILLIS), ms: draw(random, random.next() < 0.5 ? SHORT_TASK_MS : LONG_TASK_MS), gang: true, checkpoints: random.next() < 0.5 }] }
    case 'lasting': return { steps: [{ count: 1 + random.nextInt(6), cpuMillis: draw(random, CPU_MILLIS), longRunning: true, perTargetLimit: 2, failsAfterMs: FAILING_LASTING_TASK_MS }], cancelAfterMs: draw(random, LASTING_JOB_MS), mayOutlastTraffic: random.next() < OUTLASTING_JOBS_RATIO }
    case 'repeated': return { steps: [{ count: 1 + random.nextInt(6), cpuMillis: draw(random, CPU_MILLIS), ms: draw(random, REPEATED_TASK_MS) }], occurrences: 2 + random.nextInt(4), delayMs: draw(random, FIRST_OCCURRENCE_MS), intervalMs: draw(random, INTERVAL_MS) }
    case 'copied': return { steps: [{ count: 1 + random.nextInt(8), cpuMillis: draw(random, CPU_MILLIS), ms: draw(random, SHORT_TASK_MS), speculative: true }] }
    default: return assertNever(kind)
  }
}

function createStepBody ({ count, cpuMillis, after, gang, speculative, longRunning, perTargetLimit, ms = 0, checkpoints }: StepPlan): unknown {
  return { count, cpu: cpuMillis, memMb: 64, estimatedMs: ms, ...(after === undefined ? {} : { after: [after] }), allOrNothing: gang, speculative, longRunning, antiAffinity: perTargetLimit, checkpoints }
}

function draw (random: Random, { min, spread }: { readonly min: number, readonly spread: number }): number {
  return min + random.nextInt(spread)
}

/** Most steps are narrow, some are very wide. */
function drawWidth (random: Random): number {
  return 1 + Math.floor(MAX_WIDTH * random.next() ** 3)
}
