import { Command, Option, UsageError, type BaseContext } from 'clipanion'
import type { ConfigurationReport, TextFile } from '../servicefiles/index.ts'
import type { Settings } from '../settings/index.ts'
import { redactKeys } from '../util/team-key.ts'
import { Client } from './client.ts'
import type { Outcome } from './outcome.ts'

/** A member that runs in this process. */
export type RunningMember = {
  /** Leaves the cell gracefully; resolves when the member has handed over its groups. */
  readonly stop: () => Promise<void>
  /** Resolves when the member has left; rejects when the member cannot continue. */
  readonly finished: Promise<void>
}

/** Options of the demonstration. */
export type DemoOptions = { readonly seconds: number, readonly seed: number, readonly write: (text: string) => void }

/** Functions of other modules that the commands call; `main.ts` passes the real ones, tests pass substitutes. */
export type ProgramDependencies = {
  readonly startMember: (settings: Settings) => Promise<RunningMember>
  /** Resolves to the exit code. */
  readonly runDemo: (options: DemoOptions) => Promise<number>
  /** Checks a configuration in the form of the operators' platform. */
  readonly checkConfiguration: (file: TextFile, inForce?: TextFile) => ConfigurationReport
}

/** Context of each command. */
export type ProgramContext = BaseContext & {
  readonly dependencies: ProgramDependencies
  /** Aborted on SIGINT or SIGTERM; ends the commands that run until they are interrupted. */
  readonly interruptSignal: AbortSignal
}

/** Base address that is used without `--server` and `DAMASKFIELD_SERVER`. */
export const DEFAULT_SERVER = 'http://127.0.0.1:8080'

/** Base class of all commands: declares the common options and prints the outcome. */
export abstract class BaseCommand extends Command<ProgramContext> {
  json = Option.Boolean('--json', false, { description: 'Print one JSON document instead of text.' })
  server = Option.String('--server', DEFAULT_SERVER, { env: 'DAMASKFIELD_SERVER', description: `Base address of an entry host or of the load balancer (environment DAMASKFIELD_SERVER; default ${DEFAULT_SERVER}).` })
  key = Option.String('--key', { env: 'DAMASKFIELD_KEY', description: 'Team key or operator key (environment DAMASKFIELD_KEY, which other users of the machine cannot see).' })

  /** Runs the command and returns its outcome. */
  protected abstract perform (): Promise<Outcome>

  async execute (): Promise<number> {
    return (await this.perform()).match(
      ({ json, text }) => {
        if (this.json) this.print(JSON.stringify(json, null, 2))
        else if (text !== '') this.print(text)
        return 0
      },
      ({ exitCode, code, message, details }) => {
        if (this.json) this.print(JSON.stringify({ error: { code, message: redactKeys(message), ...details } }, null, 2))
        else this.context.stderr.write(`${redactKeys(message)}\n`)
        return exitCode
      }
    )
  }

  protected print (text: string): void {
    this.context.stdout.write(`${text}\n`)
  }

  protected createClient (): Client {
    if (!/^https?:\/\/[^\s/]+/.test(this.server)) throw new UsageError(`--server must be a base address such as ${DEFAULT_SERVER}`)
    return Client.create(this.server, this.key)
  }
}

/** Base class of the commands that publish. Entry hosts refuse author names that do not match the pattern here. */
export abstract class AuthoredCommand extends BaseCommand {
  author = Option.String('--author', 'operator', { env: 'USER', description: 'Name that the history shows (default: the environment USER).' })

  protected getValidAuthor (): string {
    if (/^[\w .@-]{1,64}$/.test(this.author)) return this.author
    throw new UsageError('--author must be 1 to 64 letters, digits, spaces and the characters _ . @ -')
  }
}

/**
 * Parses the integer value of an option; throws a usage error for any other value.
 *
 * @example
 * parseIntegerOption('--count', '3', 1, 100_000) // 3
 */
export function parseIntegerOption (name: string, text: string, min: number, max: number): number {
  const value = /^\d{1,15}$/.test(text) ? Number(text) : NaN
  if (value >= min && value <= max) return value
  throw new UsageError(`${name} must be a whole number from ${min} to ${max}; found ${JSON.stringify(text)}`)
}
