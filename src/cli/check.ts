import { Command, Option } from 'clipanion'
import { EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import { checkSettings, checkCellSettings, type SettingsFile } from '../settings/index.ts'
import { computeChanges, collectServiceFiles, describeChanges } from '../servicefiles/index.ts'
import { BaseCommand } from './base-command.ts'
import { readConfiguration } from './configuration-client.ts'
import { EXIT_CODE } from './exit-code.ts'
import { createFailure, createInvalidFilesFailure, createSuccess, type Outcome } from './outcome.ts'
import { readPaths } from './read-paths.ts'

/** Checks settings and service files. */
export class CheckCommand extends BaseCommand {
  static override paths = [['check']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'check settings and service files',
    details: 'Reads the given files, and below the given folders all `*.damaskfield.json`, `settings.json` and `*.settings.json`. Lists all problems. All given settings must belong to the same cell. With `--in-force`, references may name entries of the configuration in force.',
    examples: [['Check the files of an example', '$0 check examples/abay-sump']]
  })

  inForce = Option.Boolean('--in-force', false, { description: 'Resolve references with the configuration in force, and show what publishing would change.' })
  files = Option.Rest({ name: 'PATH', required: 1 })

  protected async perform (): Promise<Outcome> {
    const inForce = this.inForce ? await readConfiguration(this.createClient()) : undefined
    if (inForce?.isErr() === true) return inForce.map(() => ({ json: {}, text: '' }))
    const configuration = inForce?.isOk() === true ? inForce.value : EMPTY_CONFIGURATION
    const found = readPaths(this.files)
    if (found.services.length + found.settings.length + found.problems.length === 0) return createFailure(EXIT_CODE.usage, 'no-files', 'no settings or service file below the given paths')
    const settings = found.settings.map(({ file, text }) => ({ file, result: checkSettings(text, file) }))
    const valid: readonly SettingsFile[] = settings.flatMap(({ file, result }) => result.isOk() ? [{ file, settings: result.value }] : [])
    const collected = collectServiceFiles(found.services, configuration)
    const problems = [
      ...found.problems,
      ...settings.flatMap(({ result }) => result.isErr() ? result.error : []),
      ...checkCellSettings(valid),
      ...(collected.isErr() ? collected.error : [])
    ]
    if (problems.length > 0 || collected.isErr()) return createInvalidFilesFailure(problems)
    const changes = this.inForce ? describeChanges(computeChanges(collected.value, configuration), configuration) : []
    const files = found.services.length + found.settings.length
    return createSuccess({ files, problems: [], changes }, [`${files} files, no problems`, ...formatGangLimit(valid), ...changes].join('\n'))
  }
}

/** Formats the maximum size of a gang, because it depends on the number of groups, which is easily overlooked. */
function formatGangLimit (members: readonly SettingsFile[]): readonly string[] {
  const groups = members[0]?.settings.groups
  if (groups === undefined) return []
  return [groups === 1 ? 'one group: a gang may use the whole fleet' : `${groups} groups: a gang may use at most one group, about 1/${groups} of the fleet; larger gangs are refused as never-fits`]
}
