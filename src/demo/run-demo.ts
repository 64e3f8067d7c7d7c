import type { DemoOptions } from '../cli/base-command.ts'
import { EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { Change } from '../model/configuration.ts'
import { computeChanges } from '../servicefiles/index.ts'
import { clockNow } from '../standins/clock.ts'
import { createTeamKey } from '../util/team-key.ts'
import { startCell, type DemoCell } from './cell.ts'
import { DEPLOYMENTS, type Deployment } from './deployment.ts'
import { isSuccess, Load } from './load.ts'
import { overview, publish } from './operator.ts'
import { summarise, type Outage, type Summary } from './summary.ts'

const MS_PER_SECOND = 1_000
/** The load runs alone, then without one failure domain, then with it again. */
const PHASES = 3
/** New members take over groups from the first one in this time. */
const SETTLE_MS = 5_000
const SUCCEEDED = 0
const FAILED = 1

/**
 * Runs both example deployments one after the other, each with load and with one failure domain that leaves and returns;
 * resolves to the exit code, 1 when a guarantee was seen broken or no work was done.
 *
 * @example
 * await runDemo({ seconds: 30, seed: 1, write: (text) => process.stdout.write(text) })
 */
export async function runDemo (options: DemoOptions): Promise<number> {
  const durationMs = options.seconds * MS_PER_SECOND / DEPLOYMENTS.length
  let exitCode = SUCCEEDED
  for (const deployment of DEPLOYMENTS) {
    const summary = await runDeployment(deployment, durationMs, options)
    options.write([`${deployment.name}:`, ...summary.lines, ...summary.violations.map((violation) => `VIOLATION ${violation}`), ''].join('\n  '))
    if (summary.violations.length > 0) exitCode = FAILED
  }
  return exitCode
}

async function runDeployment (deployment: Deployment, durationMs: number, options: DemoOptions): Promise<Summary> {
  options.write(`${deployment.name}: starting 3 entry hosts and ${deployment.targets} targets`)
  const cell = await startCell(deployment)
  try {
    const { keys, changes } = teamKeys(deployment)
    const revision = await publish(cell, [...computeChanges(deployment.content, EMPTY_CONFIGURATION), ...changes])
    await delay(SETTLE_MS)
    options.write(`${deployment.name}: configuration revision ${revision} is in force`)
    return await runLoad(cell, deployment, keys, durationMs, options)
  } finally {
    await cell.close()
  }
}

async function runLoad (cell: DemoCell, deployment: Deployment, keys: ReadonlyMap<string, string>, durationMs: number, options: DemoOptions): Promise<Summary> {
  const startedAt = clockNow()
  const load = Load.create({ deployment, addresses: cell.addresses, keys, seed: options.seed })
  const progress = setInterval(() => {
    const done = load.observations.filter(isSuccess).length
    options.write(`${deployment.name}: ${Math.round((clockNow() - startedAt) / MS_PER_SECOND)} s, ${done} of ${load.observations.length} answers succeeded`)
  }, 2 * MS_PER_SECOND)
  load.start()
  await delay(durationMs / PHASES)
  const outage = await takeOut(cell, deployment, durationMs / PHASES, options)
  await delay(durationMs / PHASES)
  const groups = await overview(cell)
  await load.stop()
  clearInterval(progress)
  const summary = summarise({ platform: cell.platform, observations: load.observations, groups, outage, durationMs: clockNow() - startedAt })
  if (load.observations.some(isSuccess)) return summary
  return { ...summary, violations: [...summary.violations, 'no work was done'] }
}

async function takeOut (cell: DemoCell, deployment: Deployment, durationMs: number, options: DemoOptions): Promise<Outage> {
  const failureDomain = deployment.failureDomains.at(-1)!
  await publish(cell, [{ kind: 'failureDomain', name: failureDomain, value: { name: failureDomain, state: 'out' } }])
  const from = clockNow()
  options.write(`${deployment.name}: failure domain ${failureDomain} is out`)
  await delay(durationMs)
  const until = clockNow()
  await publish(cell, [{ kind: 'failureDomain', name: failureDomain, value: { name: failureDomain, state: 'in' } }])
  options.write(`${deployment.name}: failure domain ${failureDomain} is back`)
  return { failureDomain, from, until }
}

function teamKeys (deployment: Deployment): { readonly keys: ReadonlyMap<string, string>, readonly changes: readonly Change[] } {
  const created = deployment.content.teams.map((team) => ({ team: team.name, ...createTeamKey(team.name) }))
  return {
    keys: new Map(created.map(({ team, text }) => [team, text])),
    changes: created.map(({ key }) => ({ kind: 'key', name: key.id, value: key }))
  }
}

async function delay (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}
