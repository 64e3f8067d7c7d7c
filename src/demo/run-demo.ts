import type { DemoOptions } from '../cli/base-command.ts'
import { EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { Change } from '../model/configuration.ts'
import { computeChanges } from '../servicefiles/index.ts'
import { clockNow } from '../standins/clock.ts'
import { createTeamKey } from '../util/team-key.ts'
import { startCell, type DemoCell } from './cell.ts'
import { DEPLOYMENTS, type Deployment } from './deployment.ts'
import { isSuccess, LoadGenerator } from './load-generator.ts'
import { readOverview, publishChanges } from './operator.ts'
import { summarise, type Outage, type Summary } from './summary.ts'

const MS_PER_SECOND = 1_000
/** The load runs with all failure domains, then without one of them, then with all again. */
const PHASE_COUNT = 3
/** Time in which the other members take over groups from the first one. */
const GROUP_HANDOVER_MS = 5_000
const EXIT_SUCCESS = 0
const EXIT_FAILURE = 1

/**
 * Runs both example deployments one after the other, each under load and with one failure domain that is taken out and
 * back in. Resolves to the exit code, which is 1 if a violated guarantee was detected or no work succeeded.
 *
 * @example
 * await runDemo({ seconds: 30, seed: 1, write: (text) => process.stdout.write(text) })
 */
export async function runDemo (options: DemoOptions): Promise<number> {
  const durationMs = options.seconds * MS_PER_SECOND / DEPLOYMENTS.length
  let exitCode = EXIT_SUCCESS
  for (const deployment of DEPLOYMENTS) {
    const summary = await runDeployment(deployment, durationMs, options)
    options.write([`${deployment.name}:`, ...summary.lines, ...summary.violations.map((violation) => `VIOLATION ${violation}`), ''].join('\n  '))
    if (summary.violations.length > 0) exitCode = EXIT_FAILURE
  }
  return exitCode
}

async function runDeployment (deployment: Deployment, durationMs: number, options: DemoOptions): Promise<Summary> {
  options.write(`${deployment.name}: starting 3 entry hosts and ${deployment.targets} targets`)
  const cell = await startCell(deployment)
  try {
    const { keys, changes } = createTeamKeys(deployment)
    const revision = await publishChanges(cell, [...computeChanges(deployment.content, EMPTY_CONFIGURATION), ...changes])
    await sleep(GROUP_HANDOVER_MS)
    options.write(`${deployment.name}: configuration revision ${revision} is in force`)
    return await runLoad(cell, deployment, keys, durationMs, options)
  } finally {
    await cell.close()
  }
}

async function runLoad (cell: DemoCell, deployment: Deployment, keys: ReadonlyMap<string, string>, durationMs: number, options: DemoOptions): Promise<Summary> {
  const startedAt = clockNow()
  const load = LoadGenerator.create({ deployment, addresses: cell.addresses, keys, seed: options.seed })
  const progress = setInterval(() => {
    const succeeded = load.observations.filter(isSuccess).length
    options.write(`${deployment.name}: ${Math.round((clockNow() - startedAt) / MS_PER_SECOND)} s, ${succeeded} of ${load.observations.length} responses are successful`)
  }, 2 * MS_PER_SECOND)
  load.start()
  await sleep(durationMs / PHASE_COUNT)
  const outage = await runOutage(cell, deployment, durationMs / PHASE_COUNT, options)
  await sleep(durationMs / PHASE_COUNT)
  const groups = await readOverview(cell)
  await load.stop()
  clearInterval(progress)
  const summary = summarise({ platform: cell.platform, observations: load.observations, groups, outage, durationMs: clockNow() - startedAt })
  if (load.observations.some(isSuccess)) return summary
  return { ...summary, violations: [...summary.violations, 'no work succeeded'] }
}

async function runOutage (cell: DemoCell, deployment: Deployment, durationMs: number, options: DemoOptions): Promise<Outage> {
  const failureDomain = deployment.failureDomains.at(-1)!
  await publishChanges(cell, [{ kind: 'failureDomain', name: failureDomain, value: { name: failureDomain, state: 'out' } }])
  const from = clockNow()
  options.write(`${deployment.name}: failure domain ${failureDomain} is out`)
  await sleep(durationMs)
  const until = clockNow()
  await publishChanges(cell, [{ kind: 'failureDomain', name: failureDomain, value: { name: failureDomain, state: 'in' } }])
  options.write(`${deployment.name}: failure domain ${failureDomain} is in again`)
  return { failureDomain, from, until }
}

function createTeamKeys (deployment: Deployment): { readonly keys: ReadonlyMap<string, string>, readonly changes: readonly Change[] } {
  const created = deployment.content.teams.map((team) => ({ team: team.name, ...createTeamKey(team.name) }))
  return {
    keys: new Map(created.map(({ team, text }) => [team, text])),
    changes: created.map(({ key }) => ({ kind: 'key', name: key.id, value: key }))
  }
}

async function sleep (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}
