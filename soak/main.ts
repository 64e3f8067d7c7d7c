import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Builtins, Cli, Command, Option } from 'clipanion'
import type { ScheduledFault } from './fault-schedule.ts'
import { reserveSubnet } from './reserve-subnet.ts'
import { runSoak } from './soak-run.ts'

const EXIT_FAILED = 1
const DEFAULT_SEED_RANGE = 1_000_000
const MS_PER_SECOND = 1_000
const SCHEDULE_FILE = 'schedule.json'
const BUILT_BUNDLE = 'target/damaskfield-platform.mjs'

/** Runs seeds one after another and keeps the logs of those that fail. */
class SoakCommand extends Command {
  static override readonly usage = Command.Usage({
    description: 'inject random faults into member processes',
    examples: [['fifty seeds', 'npm run soak -- --seed 1 --seeds 50']]
  })

  seed = Option.String('--seed', String(Date.now() % DEFAULT_SEED_RANGE), { description: 'first seed; by default derived from the clock' })
  seeds = Option.String('--seeds', '1', { description: 'number of seeds' })
  seconds = Option.String('--seconds', '20', { description: 'duration of the traffic of one seed' })
  members = Option.String('--members', '3', { description: 'member processes' })
  workers = Option.String('--workers', '6', { description: 'stand-in workers' })
  rate = Option.String('--rate', '6', { description: 'jobs per second' })

  faults = Option.String('--faults', '', { description: 'kinds of faults, separated by commas, such as takeover/slow; all kinds by default' })

  jobs = Option.String('--jobs', '', { description: 'kinds of jobs, separated by commas, such as plain,gang; all kinds by default' })
  interval = Option.String('--interval', '1000', { description: 'mean time between two faults in milliseconds' })
  bundle = Option.String('--bundle', { description: 'bundle of the member processes, such as that of an earlier version; by default it is built' })
  schedule = Option.String('--schedule', { description: 'file with the faults of an earlier run, which replace those of the seed' })
  keepLogs = Option.Boolean('--keep-logs', false, { description: 'keep the logs of seeds that pass too' })

  async execute (): Promise<number> {
    const bundle = this.bundle ?? buildBundle()
    if (!existsSync(bundle)) throw new Error(`there is no bundle at ${bundle}`)
    const subnet = await reserveSubnet(process.pid)
    let failed = 0
    for (let index = 0; index < Number(this.seeds); index += 1) {
      if (!await this.runSeed(Number(this.seed) + index, bundle, subnet)) failed += 1
    }
    this.context.stdout.write(`${Number(this.seeds) - failed} passed, ${failed} failed\n`)
    return failed === 0 ? 0 : EXIT_FAILED
  }

  private async runSeed (seed: number, bundle: string, subnet: number): Promise<boolean> {
    const folder = mkdtempSync(join(tmpdir(), `damaskfield-soak-${seed}-`))
    const { schedule, accepted, refused, doubtful, breaches, longestGapMs } = await runSoak({
      seed,
      seconds: Number(this.seconds),
      members: Number(this.members),
      workers: Number(this.workers),
      jobsPerSecond: Number(this.rate),
      faultIntervalMs: Number(this.interval),
      faultKinds: parseList(this.faults),
      jobKinds: parseList(this.jobs),
      ...(this.schedule === undefined ? {} : { schedule: readSchedule(this.schedule) }),
      bundle,
      folder,
      subnet
    })
    const { stdout } = this.context
    stdout.write(`seed ${seed}: ${schedule.length} faults, ${accepted} jobs accepted, ${refused} refused, ${doubtful} in doubt, longest gap ${(longestGapMs / MS_PER_SECOND).toFixed(1)} s, ${breaches.length} breaches\n`)
    for (const breach of breaches) stdout.write(`  ${breach}\n`)
    if (breaches.length === 0 && !this.keepLogs) rmSync(folder, { recursive: true })
    else this.keepLogsOf(folder, schedule)
    return breaches.length === 0
  }

  private keepLogsOf (folder: string, schedule: readonly ScheduledFault[]): void {
    writeFileSync(join(folder, SCHEDULE_FILE), JSON.stringify(schedule))
    this.context.stdout.write(`  faults: ${JSON.stringify(schedule)}\n  logs: ${folder}\n`)
  }
}

function readSchedule (file: string): readonly ScheduledFault[] {
  return JSON.parse(readFileSync(file, 'utf8')) as readonly ScheduledFault[]
}

function parseList (text: string): readonly string[] {
  return text.split(',').filter((item) => item !== '')
}

function buildBundle (): string {
  const built = spawnSync(process.execPath, ['scripts/build-platform.mjs'], { encoding: 'utf8' })
  if (built.status !== 0) throw new Error(`the bundle could not be built: ${built.stderr}`)
  return BUILT_BUNDLE
}

const cli = new Cli({ binaryName: 'npm run soak --', binaryLabel: 'damaskfield soak' })
cli.register(SoakCommand)
cli.register(Builtins.HelpCommand)
cli.runExit(process.argv.slice(2)).catch((error: unknown) => {
  console.error(error)
  process.exitCode = EXIT_FAILED
})
