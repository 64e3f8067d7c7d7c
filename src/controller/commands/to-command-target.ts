import type { CommandTarget } from '../../ports/command-client.ts'

/**
 * Returns the target of a command without the rest of its effect, which a relay would carry as well.
 *
 * @example
 * commands.stop(toCommandTarget(effect), { ...effect.command, epoch })
 */
export function toCommandTarget ({ id, address, incarnation, mayReachNext }: CommandTarget): CommandTarget {
  return { id, address, ...incarnation !== undefined && { incarnation }, ...mayReachNext === true && { mayReachNext } }
}
