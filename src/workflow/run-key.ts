import type { TaskKey } from './job.ts'

/**
 * Formats the key of a run.
 *
 * @example
 * formatRunKey('5c0e7a21d94b36f8.0.1.17', 2)
 */
export function formatRunKey (task: TaskKey, run: number): string {
  return `${task}#${run}`
}
