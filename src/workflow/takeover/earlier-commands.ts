import { assertNever } from '../../util/assert-never.ts'

/** What an owner knows of the commands of the owners before it. */
export type EarlierCommands =
  /** No owner before it is expected to have left anything. */
  | { readonly type: 'none' }
  /** They may go on: not all targets of earlier owners are known yet. */
  | { readonly type: 'unknown' }
  /** When the last of these owners sends no more commands, on the scheduler's clock; -Infinity if there was no such owner. */
  | { readonly type: 'known', readonly endAt: number }

/**
 * Computes when the last earlier owner sends no more commands at the latest, on the scheduler's clock.
 *
 * @example
 * computeCommandsEnd({ type: 'unknown' }) // Infinity
 */
export function computeCommandsEnd (commands: EarlierCommands): number {
  switch (commands.type) {
    case 'none': return -Infinity
    case 'unknown': return Infinity
    case 'known': return commands.endAt
    default: return assertNever(commands)
  }
}
