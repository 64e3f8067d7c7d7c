import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkRecords } from '../../faults/processes/check-records.ts'
import { ProcessCell } from '../../faults/processes/process-cell.ts'
import { ProcessLoad } from '../../faults/processes/process-load.ts'
import { SCENARIOS } from '../../faults/processes/scenarios.ts'

const REQUESTS_PER_SECOND = 40
const SEED = 7

for (const scenario of SCENARIOS) {
  test(`processes, ${scenario.name}: guards against the failure that ${scenario.guards}`, async () => {
    const cell = await ProcessCell.start({ members: scenario.members, targets: 12, groups: 8 })
    try {
      const load = ProcessLoad.start(cell, REQUESTS_PER_SECOND, SEED)
      await scenario.run(cell)
      const records = await load.stop()
      assert.deepEqual(checkRecords(records, cell.platform.executions()), [])
      assert.ok(records.some((record) => record.outcome.type === 'answered'))
      const unanswered = records.filter((record) => record.outcome.type !== 'answered')
      if (scenario.requiresAllAnswers) assert.deepEqual(unanswered, [])
    } finally {
      await cell.close()
    }
  })
}
