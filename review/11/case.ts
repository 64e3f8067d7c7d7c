import { setTimeout as wait } from 'node:timers/promises'
import { runCase } from '../shared-3/cell.ts'
import type { Cell } from '../shared-3/cell.ts'

const JOBS = 70
/** Steps of a large job. Its body has less than half of `maxBodyBytes`, and what is stored of it less than `valueBytes`. */
const STEPS = 3_000
const CALM_MS = 3_000
const WATCHED_MS = 85_000
const CHECK_INTERVAL_MS = 250
/** Of the rule: ends of the processes of one machine by themselves, and machines on which that happens. */
const ENDS_OF_A_MACHINE = 3
const MACHINES = 2

/** A job whose steps follow each other, with one short task each. */
function createBody (steps: number): unknown {
  return { spec: '{"ms":20}', steps: Array.from({ length: steps }, (_, step) => ({ count: 1, cpu: 100, ...step > 0 && { after: [step - 1] } })) }
}

/** The machines on which processes have ended so often by themselves. */
function findCrashingMachines (cell: Cell): readonly string[] {
  const members = cell.processEnds.map(({ member }) => member)
  return [...new Set(members)].filter((member) => members.filter((other) => other === member).length >= ENDS_OF_A_MACHINE)
}

async function play (cell: Cell, isTroubled: boolean): Promise<string | undefined> {
  await wait(CALM_MS)
  const body = createBody(isTroubled ? STEPS : 1)
  cell.write('burst', { jobs: JOBS, bodyBytes: JSON.stringify(body).length })
  const outcomes = await Promise.all(Array.from({ length: JOBS }, async (_, index) => await cell.submit(`a1b2c3d4e5f7${index.toString(16).padStart(4, '0')}`, body, index)))
  const accepted = outcomes.filter(({ status }) => status === 200).length
  cell.write('burst-answered', { accepted, notAccepted: JOBS - accepted })
  const endAt = performance.now() + WATCHED_MS
  while (performance.now() < endAt) {
    await wait(CHECK_INTERVAL_MS)
    if (findCrashingMachines(cell).length < MACHINES) continue
    return `FAULT: of ${JOBS} jobs ${accepted} were accepted; since then the processes of ${findCrashingMachines(cell).join(' and ')} have ended by themselves ${ENDS_OF_A_MACHINE} times (${cell.processEnds.at(-1)!.detail})`
  }
  return undefined
}

await runCase({ members: 7, workers: Array.from({ length: 6 }, () => ({ kind: 'a' })), record: process.argv[2]! }, play)
