import { Command, Option } from 'clipanion'
import { readFileSync, statSync } from 'node:fs'
import { checkSettings, settingsHelp, SETTINGS_FILE_LIMIT_BYTES } from '../settings/index.ts'
import { BaseCommand } from './base-command.ts'
import { EXIT_CODE } from './exit-code.ts'
import { createFailure, createInvalidFilesFailure, createSuccess, type Outcome } from './outcome.ts'

/** Runs one member until SIGINT or SIGTERM, or until the member ends. */
export class ServeCommand extends BaseCommand {
  static override paths = [['serve']]
  static override usage = Command.Usage({
    category: 'Members',
    description: 'run a member with the given settings',
    details: `Runs until SIGTERM or SIGINT, then hands over its groups, waits for pending requests and exits. A second signal ends the process immediately. \`damaskfield check\` checks settings without starting.\n\nSettings:\n\n${settingsHelp().split('\n').map((line) => `- ${line}`).join('\n\n')}`,
    examples: [['Run the first entry host of an example', '$0 serve examples/abay-sump/entry-1.settings.json']]
  })

  settings = Option.String({ name: 'SETTINGS.json' })

  protected async perform (): Promise<Outcome> {
    const text = readSettings(this.settings)
    if (text instanceof Error) return createFailure(EXIT_CODE.usage, 'unreadable', `${this.settings}: ${text.message}`)
    const settings = checkSettings(text, this.settings)
    if (settings.isErr()) return createInvalidFilesFailure(settings.error)
    try {
      const member = await this.context.dependencies.startMember(settings.value)
      const stop = () => { member.stop().catch(() => {}) }
      if (this.context.interruptSignal.aborted) stop()
      this.context.interruptSignal.addEventListener('abort', stop, { once: true })
      await member.finished
      // The log is written to standard output as JSON lines, so no text is printed after it.
      return createSuccess({ member: settings.value.member.id, ended: 'left' }, '')
    } catch (error) {
      return createFailure(EXIT_CODE.refused, 'member-failed', error instanceof Error ? error.message : String(error))
    }
  }
}

function readSettings (path: string): string | Error {
  try {
    const { size } = statSync(path)
    return size > SETTINGS_FILE_LIMIT_BYTES ? new Error(`${size} bytes; at most ${SETTINGS_FILE_LIMIT_BYTES} are allowed`) : readFileSync(path, 'utf8')
  } catch (error) {
    return error as Error
  }
}
