import { readFileSync } from 'node:fs'
import { Command, Option, UsageError } from 'clipanion'
import { EMPTY_CONFIGURATION, applyRevision } from '../model/apply-revision.ts'
import type { Configuration } from '../model/configuration.ts'
import { SERVICE_FILE_LIMIT_BYTES, collectServiceFiles, computeChanges, describeChanges, formatConfigurationReport, type ConfigurationReport, type TextFile } from '../servicefiles/index.ts'
import { redactKeys } from '../util/team-key.ts'
import { BaseCommand } from './base-command.ts'
import { EXIT_CODE } from './exit-code.ts'
import { createSuccess, type Outcome } from './outcome.ts'

/** Fields that only a service file has; any other file is taken for the platform's form. */
const SERVICE_FILE_FIELDS = ['organisations', 'teams', 'queues', 'failureDomains', 'profile']

/** Checks a configuration before it is sent. */
export class ConfigurationCheckCommand extends BaseCommand {
  static override paths = [['configuration', 'check']]
  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'check a configuration before it is sent',
    details: 'Reads a service file, or a configuration in the form of the operators\' platform. Reports errors, entries that can never match and limits that contradict each other; with `--in-force`, also what differs from that file and which running work it affects. Nothing is sent. Exit code 0: nothing found; 1: warnings; 2: errors.',
    examples: [['Compare the next version with the one in force', '$0 configuration check next.json --in-force now.json']]
  })

  inForce = Option.String('--in-force', { description: 'File with the version in force.' })
  file = Option.String({ name: 'FILE' })

  override async execute (): Promise<number> {
    const report = this.check()
    this.print(redactKeys(this.json ? JSON.stringify(report, null, 2) : formatConfigurationReport(report)))
    if (report.errors.length > 0) return EXIT_CODE.usage
    return report.warnings.length > 0 ? EXIT_CODE.refused : EXIT_CODE.success
  }

  protected async perform (): Promise<Outcome> {
    const report = this.check()
    return createSuccess(report, formatConfigurationReport(report))
  }

  private check (): ConfigurationReport {
    const next = readFile(this.file)
    const inForce = this.inForce === undefined ? undefined : readFile(this.inForce)
    return isServiceFile(next.text) ? checkServiceFiles(next, inForce) : this.context.dependencies.checkConfiguration(next, inForce)
  }
}

function readFile (file: string): TextFile {
  try {
    const text = readFileSync(file, 'utf8')
    if (Buffer.byteLength(text) <= SERVICE_FILE_LIMIT_BYTES) return { file, text }
  } catch (error) {
    throw new UsageError(`${file} can't be read: ${error instanceof Error ? error.message : String(error)}`)
  }
  throw new UsageError(`${file} has more than ${SERVICE_FILE_LIMIT_BYTES} bytes`)
}

function isServiceFile (text: string): boolean {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null && SERVICE_FILE_FIELDS.some((field) => Object.hasOwn(value, field))
  } catch {
    return false
  }
}

function checkServiceFiles (next: TextFile, inForce: TextFile | undefined): ConfigurationReport {
  const before = inForce === undefined ? undefined : collectServiceFiles([inForce])
  const configuration = before?.isOk() === true ? toConfiguration(computeChanges(before.value, EMPTY_CONFIGURATION)) : EMPTY_CONFIGURATION
  const content = collectServiceFiles([next], configuration)
  const errors = [...content.isErr() ? content.error : [], ...before?.isErr() === true ? before.error : []]
  const changes = content.isOk() && before?.isOk() === true ? describeChanges(computeChanges(content.value, configuration, { prune: true }), configuration) : []
  return { errors, warnings: [], changes }
}

function toConfiguration (changes: ReturnType<typeof computeChanges>): Configuration {
  return applyRevision(EMPTY_CONFIGURATION, { revision: 1, author: '', at: 0, nonce: '', changes })
}
