import { Builtins, Cli, type CommandClass } from 'clipanion'
import { DomainInCommand, DomainOutCommand, HostDrainCommand, HostUndrainCommand, KeyGiveCommand, KeyWithdrawCommand } from './actions.ts'
import type { ProgramContext } from './base-command.ts'
import { CheckCommand } from './check.ts'
import { ConfigurationCheckCommand } from './configuration-check.ts'
import { DemoCommand } from './demo.ts'
import { ENTRY_COMMANDS } from './entries.ts'
import { EXIT_CODE } from './exit-code.ts'
import { HistoryCommand, PublishCommand, RollbackCommand } from './publish.ts'
import { ServeCommand } from './serve.ts'
import { SubmitCommand } from './submit.ts'
import { TopCommand } from './top.ts'
import { CancelCommand, ExplainCommand, StatusCommand } from './work.ts'

/** Version that `--version` prints; equal to the version of the package. */
export const VERSION = '0.1.0'

/** All commands of the binary. */
export const COMMANDS: readonly CommandClass<ProgramContext>[] = [
  ServeCommand, DemoCommand, CheckCommand, ConfigurationCheckCommand, PublishCommand, HistoryCommand, RollbackCommand, ...ENTRY_COMMANDS,
  KeyGiveCommand, KeyWithdrawCommand, DomainOutCommand, DomainInCommand, HostDrainCommand, HostUndrainCommand,
  SubmitCommand, StatusCommand, CancelCommand, ExplainCommand, TopCommand
]

/**
 * Runs the command that the arguments name and returns its exit code. clipanion returns 1 for wrong arguments. Here 1
 * means refused, so usage errors are caught and the exit code is 2.
 *
 * @example
 * process.exitCode = await runProgram(process.argv.slice(2), context)
 */
export async function runProgram (args: readonly string[], context: ProgramContext): Promise<number> {
  const cli = createCli()
  try {
    // Without arguments, the list of commands is shown.
    const command = cli.process(args.length === 0 ? ['--help'] : [...args], context)
    command.context = context
    if (command.help || !COMMANDS.some((known) => command instanceof known)) return await cli.run(command, context)
    return await command.validateAndExecute()
  } catch (error) {
    if (!isUsageError(error)) throw error
    context.stderr.write(`${error.message}\n`)
    return EXIT_CODE.usage
  }
}

/** Errors that clipanion throws for wrong arguments have the field `clipanion`. */
function isUsageError (error: unknown): error is Error {
  return error instanceof Error && 'clipanion' in error
}

function createCli (): Cli<ProgramContext> {
  const cli = new Cli<ProgramContext>({ binaryLabel: 'damaskfield', binaryName: 'damaskfield', binaryVersion: VERSION, enableColors: false })
  cli.register(Builtins.HelpCommand as CommandClass<ProgramContext>)
  cli.register(Builtins.VersionCommand as CommandClass<ProgramContext>)
  for (const command of COMMANDS) cli.register(command)
  return cli
}
