import { Command, Option } from 'clipanion'
import { BaseCommand, parseIntegerOption } from './base-command.ts'
import { EXIT_CODE } from './exit-code.ts'
import { createFailure, createSuccess, type Outcome } from './outcome.ts'

/** Runs a small cell with stand-ins and load in this process. */
export class DemoCommand extends BaseCommand {
  static override paths = [['demo']]
  static override usage = Command.Usage({
    category: 'Members',
    description: 'run a small cell with embedded stand-ins and load',
    details: 'Starts stand-ins of the store, the host list and targets, several members and a load generator, all on loopback addresses, and prints measurements.',
    examples: [['Run for ten seconds', '$0 demo --seconds 10']]
  })

  seconds = Option.String('--seconds', '30', { description: 'Length of the demonstration (default 30).' })
  seed = Option.String('--seed', '1', { description: 'Seed of the load and the faults (default 1).' })

  protected async perform (): Promise<Outcome> {
    const options = { seconds: parseIntegerOption('--seconds', this.seconds, 1, 3600), seed: parseIntegerOption('--seed', this.seed, 0, 2 ** 32 - 1) }
    try {
      const demo = this.context.dependencies.runDemo({ ...options, write: (text) => { if (!this.json) this.print(text) } })
      const exitCode = await Promise.race([demo, rejectOnAbort(this.context.interruptSignal)])
      return exitCode === 0 ? createSuccess({ ...options, exitCode }, 'the demonstration has ended') : createFailure(EXIT_CODE.refused, 'demo-failed', `the demonstration ended with ${exitCode}`)
    } catch (error) {
      return createFailure(EXIT_CODE.refused, 'demo-failed', error instanceof Error ? error.message : String(error))
    }
  }
}

/** Rejects when the signal is aborted. The demonstration cannot be stopped; it runs until the process exits. */
async function rejectOnAbort (signal: AbortSignal): Promise<never> {
  return await new Promise((_resolve, reject) => {
    const interrupt = () => reject(new Error('interrupted'))
    if (signal.aborted) interrupt()
    else signal.addEventListener('abort', interrupt, { once: true })
  })
}
