/** Estimate of how long a task of a queue runs, as a function of the declared time. Times are in milliseconds. */
export type RunTimeModel = {
  readonly interceptMs: number
  readonly slope: number
  /** Declared times that the runs covered; outside of them the declaration counts. */
  readonly minDeclaredMs: number
  readonly maxDeclaredMs: number
  /** No estimate is below this. */
  readonly floorMs: number
  /** Standard deviation of the runs from their estimates. */
  readonly spreadMs: number
}

/**
 * Estimates the run time of a task, in milliseconds. Without a model, and outside of the declared times that it has learned
 * from, that is the declared time.
 *
 * @example
 * estimateRunMs(undefined, 680) // 680
 */
export function estimateRunMs (model: RunTimeModel | undefined, declaredMs: number): number {
  if (model === undefined || declaredMs < model.minDeclaredMs || declaredMs > model.maxDeclaredMs) return declaredMs
  return Math.max(model.floorMs, model.interceptMs + model.slope * declaredMs)
}

/** Whether estimates of two models differ so little that what was computed from one need not be computed again. */
export function isSimilar (left: RunTimeModel, right: RunTimeModel, ratio: number): boolean {
  const isClose = (before: number, after: number): boolean => Math.abs(after - before) <= ratio * Math.max(before, after)
  const ends = [left, right].map(({ minDeclaredMs, maxDeclaredMs, interceptMs, slope }) => [interceptMs + slope * minDeclaredMs, interceptMs + slope * maxDeclaredMs, maxDeclaredMs] as const)
  return ends[0]!.every((before, index) => isClose(before, ends[1]![index]!))
}
