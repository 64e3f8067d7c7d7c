import type { Random } from '../../src/util/random.ts'
import type { JobDefinition } from '../../src/workflow/job.ts'
import { CONFIGURATION, QUEUE, buildJob } from './harness.ts'

/** Difference between the clocks of one leader and the next, in milliseconds. */
export const CLOCK_DIFFERENCE_MS = 250
/** A task that lasts runs for this time at the most, in milliseconds. */
export const LASTING_MS = 30_000

/** A job whose tasks last for the whole simulation. */
export const LASTING_JOB = buildJob('lasting', { count: 3, longRunning: true })

/** Draws how long a run of a job's task lasts. */
export function drawDurationMs (random: Random, { id, steps }: JobDefinition): number {
  if (id === LASTING_JOB.id) return Infinity
  if (steps[0]!.checkpoints) return 2_000 + random.nextInt(2_000)
  return steps[0]!.longRunning ? LASTING_MS : 300 + random.nextInt(1_200)
}

/** Draws a job of two steps: plain tasks, a gang, or tasks of which copies may run. */
export function drawJob (random: Random, id: string): JobDefinition {
  const count = 1 + random.nextInt(4)
  const kind = random.nextInt(4)
  return buildJob(id, { count, gang: kind === 1, speculative: kind === 2 }, { count: 1, after: [0] })
}

/** Draws a job as `drawJob` does, one with tasks that last, or a repeated one whose occurrences overlap. */
export function drawVariedJob (random: Random, id: string, now: number): JobDefinition {
  switch (random.nextInt(4)) {
    case 0: return buildJob(id, { count: 1 + random.nextInt(2), longRunning: true })
    case 1: return { ...drawJob(random, id), firstAtMs: now + random.nextInt(1_000), intervalMs: 300 + random.nextInt(900), occurrences: 2 + random.nextInt(4) }
    default: return drawJob(random, id)
  }
}

/** The queue of batch jobs, whose objectives leave time for a stop. */
export const BATCH_QUEUE = { ...QUEUE, name: 'batch', priority: 2, stretch: 4 }

/** Draws a job as `drawJob` does, or a batch job whose tasks save checkpoints. */
export function drawPreemptibleJob (random: Random, id: string): JobDefinition {
  if (random.nextInt(2) === 0) return drawJob(random, id)
  return { ...buildJob(id, { count: 2 + random.nextInt(3), checkpoints: true, estimatedMs: 3_000 }), queue: BATCH_QUEUE.name }
}

/** The configuration of a simulation, with queues for urgent and for batch jobs. */
export function buildSimulatedConfiguration (maximumCpuMillis: number): typeof CONFIGURATION {
  const organisations = [{ ...CONFIGURATION.organisations[0]!, weight: 100, maximum: { cpuMillis: maximumCpuMillis, memoryMiB: 0, accelerators: 0 } }]
  return { ...CONFIGURATION, queues: [QUEUE, BATCH_QUEUE], organisations }
}
