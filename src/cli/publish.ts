import { Command, Option } from 'clipanion'
import type { Change, Configuration, ConfigurationRevision } from '../model/configuration.ts'
import { computeChanges, collectServiceFiles, describeChanges, computeRollbackChanges } from '../servicefiles/index.ts'
import { AuthoredCommand, BaseCommand, parseIntegerOption } from './base-command.ts'
import { rebuildConfiguration, publishRevision, readConfiguration, readHistory } from './configuration-client.ts'
import { EXIT_CODE } from './exit-code.ts'
import { createFailure, createInvalidFilesFailure, createSuccess, type Outcome } from './outcome.ts'
import { readPaths } from './read-paths.ts'
import { formatTable, formatTime } from './table.ts'

/** Base class of the commands that publish a revision. */
export abstract class PublishingCommand extends AuthoredCommand {
  dryRun = Option.Boolean('--dry-run', false, { description: 'Show the changes without publishing them.' })

  protected async publishChanges (changes: readonly Change[], configuration: Configuration): Promise<Outcome> {
    const lines = describeChanges(changes, configuration)
    const base = { from: configuration.revision, changes: lines }
    if (changes.length === 0) return createSuccess({ ...base, published: false }, `nothing to change at revision ${configuration.revision}`)
    if (this.dryRun) return createSuccess({ ...base, published: false }, [...lines, `${lines.length} changes, not published`].join('\n'))
    const response = await publishRevision(this.createClient(), this.getValidAuthor(), configuration.revision, changes)
    return response.map(({ revision, inForce }) => (
      { json: { ...base, published: true, revision, inForce }, text: [...lines, `revision ${revision} is in force`].join('\n') }
    ))
  }
}

/** Publishes service files. */
export class PublishCommand extends PublishingCommand {
  static override paths = [['publish']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'publish service files as one revision',
    details: 'Checks the files, prints the changes to the configuration in force and publishes them. Entries that are not in the files stay, unless `--prune` is given. Known failure domains keep their state, unless `--domain-states` is given. If another operator publishes first, the exit code is 4 and nothing is changed.',
    examples: [['Show what would change', '$0 publish --dry-run services/']]
  })

  prune = Option.Boolean('--prune', false, { description: 'Remove organisations, teams with their keys, queues and services that are not in the files.' })
  domainStates = Option.Boolean('--domain-states', false, { description: 'Also set the state of known failure domains.' })
  files = Option.Rest({ name: 'PATH', required: 1 })

  protected async perform (): Promise<Outcome> {
    const found = readPaths(this.files)
    if (found.problems.length > 0) return createInvalidFilesFailure(found.problems)
    if (found.services.length === 0) return createFailure(EXIT_CODE.usage, 'no-service-files', 'no service file (*.damaskfield.json) below the given paths')
    const configuration = await readConfiguration(this.createClient())
    if (configuration.isErr()) return configuration.map(() => ({ json: {}, text: '' }))
    // With --prune, entries that are in force but not in the files are removed, so they cannot resolve a reference.
    const collected = this.prune ? collectServiceFiles(found.services) : collectServiceFiles(found.services, configuration.value)
    if (collected.isErr()) return createInvalidFilesFailure(collected.error)
    const changes = computeChanges(collected.value, configuration.value, { prune: this.prune, domainStates: this.domainStates })
    return await this.publishChanges(changes, configuration.value)
  }
}

/** Publishes the content of an earlier revision as a new revision. */
export class RollbackCommand extends PublishingCommand {
  static override paths = [['rollback']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'publish the content of an earlier revision as a new one',
    details: 'Restores organisations, teams, queues, services and the profile of the given revision. Keys, failure domain states and drains stay as they are, so that a withdrawn key stays withdrawn.',
    examples: [['Show what would change', '$0 rollback 41 --dry-run']]
  })

  revision = Option.String({ name: 'REVISION' })

  protected async perform (): Promise<Outcome> {
    const revision = parseIntegerOption('REVISION', this.revision, 0, Number.MAX_SAFE_INTEGER)
    const configuration = await readConfiguration(this.createClient())
    if (configuration.isErr()) return configuration.map(() => ({ json: {}, text: '' }))
    if (revision > configuration.value.revision) return createFailure(EXIT_CODE.refused, 'revision-not-found', `the newest revision is ${configuration.value.revision}`)
    const earlier = await rebuildConfiguration(this.createClient(), revision)
    if (earlier.isErr()) return earlier.map(() => ({ json: {}, text: '' }))
    return await this.publishChanges(computeRollbackChanges(earlier.value, configuration.value), configuration.value)
  }
}

/** Lists the newest revisions. */
export class HistoryCommand extends BaseCommand {
  static override paths = [['history']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'list the newest revisions',
    examples: [['List the last five', '$0 history --limit 5']]
  })

  limit = Option.String('--limit', '20', { description: 'Number of revisions (default 20, at most 500).' })

  protected async perform (): Promise<Outcome> {
    const limit = parseIntegerOption('--limit', this.limit, 1, 500)
    const configuration = await readConfiguration(this.createClient())
    if (configuration.isErr()) return configuration.map(() => ({ json: {}, text: '' }))
    const history = await readHistory(this.createClient(), Math.max(0, configuration.value.revision - limit), limit)
    return history.map((revisions) => (
      { json: { revisions }, text: formatTable(['revision', 'at', 'author', 'changes'], revisions.map(formatHistoryRow)) }
    ))
  }
}

/** Maximum number of changes named in a row of the history; the others are only counted. */
const MAX_NAMED_CHANGES = 3

function formatHistoryRow ({ revision, at, author, changes }: ConfigurationRevision): readonly (string | number)[] {
  const named = changes.slice(0, MAX_NAMED_CHANGES).map(({ kind, name, value }) => `${value === null ? '-' : ''}${kind} ${name}`)
  const rest = changes.length > MAX_NAMED_CHANGES ? [`${changes.length - MAX_NAMED_CHANGES} more`] : []
  return [revision, formatTime(at), author, [...named, ...rest].join(', ')]
}
