import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellConfiguration, Queue } from '../../src/workflow/settings/cell-configuration.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry } from './harness.ts'

const QUEUES: readonly Queue[] = [
  { ...QUEUE, name: 'urgent', advice: { decisionMs: 40, perTargetMs: 0.4, validityMs: 2_000 } },
  { ...QUEUE, name: 'batch', priority: 2, advice: { decisionMs: 530, perTargetMs: 8, validityMs: 2_000 } }
]
const CELL: CellConfiguration = { ...CONFIGURATION, queues: QUEUES }
const TARGETS = 20

function createHarness (channels: number): CellHarness {
  const harness = CellHarness.create(Array.from({ length: TARGETS }, (_, index) => buildEntry(`t${index}`)), CELL)
  harness.apply({ type: 'advice-channels', channels })
  return harness
}

/** Jobs whose steps were asked for and that the filter accepts. */
function getAskingJobs (harness: CellHarness, prefix: string): readonly string[] {
  return harness.effects.flatMap((effect) => effect.type === 'request-advice' && effect.step.startsWith(prefix) ? [effect.step.split('.')[0]!] : [])
}

// Work was late with a single member left: each urgent question that took 40 ms at the advisor was followed by a batch question of 600 ms.
const waitingSteps = [
  { guards: 'only one urgent step asks while the advisor answers a batch question', jobs: 6, expected: 6 },
  { guards: 'urgent steps ask long before the advisor can answer, so that their tickets expire', jobs: 20, expected: 10 }
]

for (const { guards, jobs, expected } of waitingSteps) {
  test(`pending advice: guards against the failure that ${guards}`, () => {
    const harness = createHarness(1)
    harness.acceptJob('batch', 'batch')
    assert.deepEqual(getAskingJobs(harness, 'batch'), ['batch'])
    for (let index = 0; index < jobs; index++) harness.acceptJob(`urgent${index}`, 'urgent')
    assert.equal(getAskingJobs(harness, 'urgent').length, expected)
  })
}

// Half the questions of a single channel went to steps that had asked before: the first question had named eight targets, one of them allowed.
const firstQuestions = [
  { guards: 'a step that had to wait for a channel names so few targets that it soon has to ask again', channels: 0, expected: 16 },
  { guards: 'a step that finds a free channel names more targets than it needs', channels: 1, expected: 8 }
]

for (const { guards, channels, expected } of firstQuestions) {
  test(`advice targets: guards against the failure that ${guards}`, () => {
    const harness = createHarness(channels)
    harness.acceptJob('batch', 'batch')
    harness.apply({ type: 'advice-channels', channels: 1 })
    harness.advance(600)
    const [request] = harness.effects.flatMap((effect) => effect.type === 'request-advice' ? [effect] : [])
    assert.equal(request?.targets.length, expected)
  })
}
