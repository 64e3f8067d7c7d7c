import { Command, Option } from 'clipanion'
import { EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import { checkSettings, checkCellSettings, type SettingsFile } from '../settings/index.ts'
import { computeChanges, collectServiceFiles, describeChanges } from '../servicefiles/index.ts'
import { BaseCommand } from './base-command.ts'
import { readConfiguration } from './configuration-client.ts'
import { EXIT } from './exit-code.ts'
import { failed, invalidFiles, printed, type Outcome } from './outcome.ts'
import { readPaths } from './read-paths.ts'

/** Checks settings and service files. */
export class CheckCommand extends BaseCommand {
  static override paths = [['check']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'check settings and service files',
    details: 'Reads the given files, and below the given folders all `*.damaskfield.json`, `settings.json` and `*.settings.json`. Lists every problem. Settings given together must belong to one cell. With `--in-force`, references may name entries of the configuration in force.',
    examples: [['Check the files of an example', '$0 check examples/abay-sump']]
  })

  inForce = Option.Boolean('--in-force', false, { description: 'Resolve references with the configuration in force, and show what publishing would change.' })
  files = Option.Rest({ name: 'PATH', required: 1 })

  protected async perform (): Promise<Outcome> {
    const known = this.inForce ? await readConfiguration(this.client()) : undefined
    if (known?.isErr() === true) return known.map(() => ({ json: {}, text: '' }))
    const configuration = known?.isOk() === true ? known.value : EMPTY_CONFIGURATION
    const found = readPaths(this.files)
    if (found.services.length + found.settings.length + found.problems.length === 0) return failed(EXIT.usage, 'no-files', 'no settings or service file below the given paths')
    const settings = found.settings.map(({ file, text }) => ({ file, result: checkSettings(text, file) }))
    const valid: readonly SettingsFile[] = settings.flatMap(({ file, result }) => result.isOk() ? [{ file, settings: result.value }] : [])
    const collected = collectServiceFiles(found.services, configuration)
    const problems = [
      ...found.problems,
      ...settings.flatMap(({ result }) => result.isErr() ? result.error : []),
      ...checkCellSettings(valid),
      ...(collected.isErr() ? collected.error : [])
    ]
    if (problems.length > 0 || collected.isErr()) return invalidFiles(problems)
    const changes = this.inForce ? describeChanges(computeChanges(collected.value, configuration), configuration) : []
    const files = found.services.length + found.settings.length
    return printed({ files, problems: [], changes }, [`${files} files, no problems`, ...gangNote(valid), ...changes].join('\n'))
  }
}

/** States the largest gang, because it follows from the number of groups and is easily overlooked. */
function gangNote (members: readonly SettingsFile[]): readonly string[] {
  const groups = members[0]?.settings.groups
  if (groups === undefined) return []
  return [groups === 1 ? 'one group: a gang may use the whole fleet' : `${groups} groups: a gang may use at most one group, about 1/${groups} of the fleet; larger gangs are refused as never-fits`]
}
