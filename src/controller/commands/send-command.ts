import type { CommandClient, CommandResponse } from '../../ports/command-client.ts'
import { assertNever } from '../../util/assert-never.ts'
import type { CellEffect } from '../../workflow/effect.ts'
import { computeFencingNumber } from '../leadership/fencing-number.ts'
import { toCommandTarget } from './to-command-target.ts'

type CommandEffect = Extract<CellEffect, { readonly type: 'start' | 'stop' | 'throttle' }>

/**
 * Sends the command of an effect with the fencing number of its term and series.
 *
 * @example
 * const response = await sendCommand(commands, term.term, effect)
 */
export function sendCommand (commands: CommandClient, term: number, effect: CommandEffect): Promise<CommandResponse> {
  const target = toCommandTarget(effect)
  const epoch = computeFencingNumber(term, effect.series)
  switch (effect.type) {
    case 'start': return commands.start(target, { ...effect.command, epoch })
    case 'stop': return commands.stop(target, { ...effect.command, epoch })
    case 'throttle': return commands.throttle(target, { ...effect.command, epoch })
    default: return assertNever(effect)
  }
}
