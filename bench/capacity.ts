import { ProcessCell } from '../faults/processes/process-cell.ts'
import { ProcessLoad } from '../faults/processes/process-load.ts'
import { fitLine, type LineFit } from './line-fit.ts'
import { costRate, processCost, type CostRate } from './process-cost.ts'

/** Targets of one member: today's cell, a middle size, and a seventh of 3,800. */
const TARGET_COUNTS = [30, 180, 543] as const
/** Starts in one second; a seventh of the peak of 840 is 120. */
const START_RATES = [0, 40, 120] as const
const TARGETS_FOR_RATES = 180
const GROUPS = 9
const SETTLE_MS = 12_000
const MEASURE_MS = 20_000
const SEED = 1
const FULL_TARGETS = 3_800 / 7
const FULL_STARTS = 840 / 7
const MEASURES = ['corePercent', 'readBytesPerSecond', 'writtenBytesPerSecond', 'residentMiB'] as const

type Measure = typeof MEASURES[number]
type Point = { readonly targets: number, readonly startsPerSecond: number, readonly cost: CostRate }

/**
 * Cost of one member process against its number of targets and its rate of starts, with fitted lines and the values that
 * they give at the full size. The stand-ins run in this process, the member in its own.
 */
export async function benchCapacity (print: (line: string) => void): Promise<unknown> {
  const byTargets: Point[] = []
  for (const targets of TARGET_COUNTS) byTargets.push(await measure(targets, 0, print))
  const byStarts: Point[] = []
  for (const rate of START_RATES) byStarts.push(await measure(TARGETS_FOR_RATES, rate, print))
  const lines = MEASURES.map((name) => describe(name, byTargets, byStarts))
  for (const line of lines) print(line.text)
  return { seed: SEED, byTargets, byStarts, lines }
}

async function measure (targets: number, startsPerSecond: number, print: (line: string) => void): Promise<Point> {
  const cell = await ProcessCell.start({ members: 1, targets, groups: GROUPS })
  try {
    const load = startsPerSecond === 0 ? undefined : ProcessLoad.start(cell, startsPerSecond, SEED)
    await delay(SETTLE_MS)
    const { pid } = cell.runningMembers[0]!
    const before = processCost(pid)
    const runsBefore = cell.platform.executions().length
    await delay(MEASURE_MS)
    const cost = costRate(before, processCost(pid))
    const started = (cell.platform.executions().length - runsBefore) * 1_000 / MEASURE_MS
    await load?.stop()
    print(`${targets} targets, ${started.toFixed(1)} starts/s: ${cost.corePercent.toFixed(2)}% of a core, ` +
      `${kilobytes(cost.readBytesPerSecond)} read, ${kilobytes(cost.writtenBytesPerSecond)} written, ${cost.residentMiB.toFixed(0)} MiB`)
    return { targets, startsPerSecond: started, cost }
  } finally {
    await cell.close()
  }
}

function describe (name: Measure, byTargets: readonly Point[], byStarts: readonly Point[]): { readonly name: Measure, readonly targets: LineFit, readonly starts: LineFit, readonly atFullSize: number, readonly text: string } {
  const targets = fitLine(byTargets.map((point) => [point.targets, point.cost[name]]))
  const starts = fitLine(byStarts.map((point) => [point.startsPerSecond, point.cost[name]]))
  const atFullSize = targets.intercept + targets.slope * FULL_TARGETS + starts.slope * FULL_STARTS
  const text = `${name}: ${targets.intercept.toPrecision(4)} + ${targets.slope.toPrecision(4)} a target (residual ${targets.residual.toPrecision(3)}) ` +
    `+ ${starts.slope.toPrecision(4)} a start/s (residual ${starts.residual.toPrecision(3)}); at 543 targets and 120 starts/s: ${atFullSize.toPrecision(4)}`
  return { name, targets, starts, atFullSize, text }
}

function kilobytes (bytes: number): string {
  return `${(bytes / 1_000).toFixed(1)} kB/s`
}

async function delay (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}
