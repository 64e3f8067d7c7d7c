import { checkRecords, computeLongestGap } from '../faults/processes/check-records.ts'
import { ProcessCell } from '../faults/processes/process-cell.ts'
import { ProcessLoad } from '../faults/processes/process-load.ts'
import { SCENARIOS } from '../faults/processes/scenarios.ts'

const REQUESTS_PER_SECOND = 40
const TARGETS = 30
const GROUPS = 8
const SEED = 1

/** Effect of each fault on callers, with members as processes: longest time without an answer, and refusals. */
export async function benchRecovery (print: (line: string) => void): Promise<unknown> {
  const rows = []
  for (const scenario of SCENARIOS) {
    const cell = await ProcessCell.start({ members: 7, targets: TARGETS, groups: GROUPS })
    try {
      const load = ProcessLoad.start(cell, REQUESTS_PER_SECOND, SEED)
      await scenario.run(cell)
      const records = await load.stop()
      const answered = records.filter((record) => record.outcome.type === 'answered')
      const waits = answered.map((record) => record.endedAt - record.sentAt).sort((left, right) => left - right)
      const row = {
        fault: scenario.name,
        sent: records.length,
        answered: answered.length,
        refused: records.filter((record) => record.outcome.type === 'refused').length,
        broken: records.filter((record) => record.outcome.type === 'broken').length,
        longestGapMs: computeLongestGap(records),
        answerP50Ms: waits[Math.floor(waits.length * 0.5)],
        answerP99Ms: waits[Math.floor(waits.length * 0.99)],
        answerMaxMs: waits.at(-1),
        violations: checkRecords(records, cell.platform.executions())
      }
      rows.push(row)
      print(JSON.stringify(row))
    } finally {
      await cell.close()
    }
  }
  return { seed: SEED, members: 7, targets: TARGETS, groups: GROUPS, requestsPerSecond: REQUESTS_PER_SECOND, rows }
}
