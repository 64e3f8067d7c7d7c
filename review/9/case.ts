import { setTimeout as wait } from 'node:timers/promises'
import { SoakWorker } from '../../soak/soak-worker.ts'
import { EXIT, ReviewCell, isCalm, runCase } from '../shared-2/review-cell.ts'

const WORKERS = 10
/** The worker on which the task has started crashes this long after the start, in milliseconds, and is down for a while. */
const CRASH_AFTER_MS = 120
const DOWN_MS = 1_500
const CRASHES = 3
/** The job that is watched, and the time that it gets, in milliseconds. */
const JOB = '00000000000000a1'
const TASK = { count: 1, cpu: 2_000, memMb: 1_024, estimatedMs: 3_000 }
const WATCH_MS = 30_000
/** Other traffic, and the time between two of its jobs, in milliseconds. */
const OTHER_JOBS = 160
const OTHER_INTERVAL_MS = 250
const OTHER_STEP = { count: 4, cpu: 500, memMb: 128, estimatedMs: 300 }
const DEADLINE_MS = 3_000
const POLL_MS = 500

await runCase(async (record) => {
  const workers = new Map<string, SoakWorker>()
  const outcomes: string[] = []
  let crashes = 0
  const cell = await ReviewCell.start({ record, members: 3, workers: 0 })
  const crash = async (id: string): Promise<void> => {
    crashes += 1
    await wait(CRASH_AFTER_MS)
    cell.record(`worker ${id} crashes, ${CRASH_AFTER_MS} ms after the start`)
    workers.get(id)!.goAway('refused')
    await wait(DOWN_MS)
    workers.get(id)!.comeBack()
    cell.record(`worker ${id} has started again`)
  }
  try {
    for (let index = 0; index < WORKERS; index += 1) {
      const id = `w${index}`
      workers.set(id, await SoakWorker.start(cell.kv, ['east', 'west', 'south'][index % 3]!, {
        id,
        needsTickets: false,
        maxStopMs: 200,
        seed: index,
        observe: (event) => {
          if (event.type === 'crashed' || !event.task.startsWith(JOB)) return
          cell.record(`worker ${id}: ${event.type} ${event.task} run ${event.run}${'outcome' in event ? ` ${event.outcome}` : ''}`)
          if (event.type === 'ended') outcomes.push(event.outcome)
          if (event.type === 'started' && !isCalm && crashes < CRASHES) crash(id).catch(() => {})
        }
      }))
    }
    if (!await cell.waitUntilReady(15_000)) return EXIT.notRun
    await wait(2_000)
    const submitOthers = async (): Promise<void> => {
      for (let number = 0; number < OTHER_JOBS; number += 1) {
        cell.call(cell.members[number % 3]!, 'POST', `/plain/${(0xb000 + number).toString(16).padStart(16, '0')}`, { spec: '{"ms":300}', steps: [OTHER_STEP] }, DEADLINE_MS).catch(() => {})
        await wait(OTHER_INTERVAL_MS)
      }
    }
    submitOthers().catch(() => {})
    await wait(2_000)
    const answer = await cell.call(cell.members[0]!, 'POST', `/plain/${JOB}`, { spec: '{"ms":3000}', steps: [TASK] }, DEADLINE_MS)
    cell.record(`client: POST ${JOB} -> ${answer?.status ?? 'no answer'}`)
    if (answer?.status !== 200) return EXIT.notRun
    let state: unknown
    for (const until = performance.now() + WATCH_MS; performance.now() < until && state !== 'completed' && state !== 'failed';) {
      await wait(POLL_MS)
      const next = (await cell.call(cell.members[1]!, 'GET', `/plain/${JOB}`, undefined, DEADLINE_MS))?.body.state ?? state
      if (next !== state) cell.record(`client: GET ${JOB} -> ${String(next)}`)
      state = next
    }
    const failedEnds = outcomes.filter((outcome) => outcome === 'failed').length
    cell.record(`the job is shown as ${String(state)}; ${failedEnds} of its runs have ended \`failed\`, maxAttempts is 3; ${crashes} workers have crashed`)
    if (state === undefined) return EXIT.notRun
    const broken = state === 'failed' && failedEnds === 0
    cell.record(broken ? 'BROKEN: shown as failed without cause' : 'held')
    return broken ? EXIT.broken : EXIT.held
  } finally {
    await cell.close()
    for (const worker of workers.values()) worker.close()
  }
})
