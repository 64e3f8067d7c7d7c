import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Change } from '../../src/model/configuration.ts'
import type { History, Observation } from '../../faults/history.ts'
import { checkHistory, GUARANTEES } from '../../faults/checker.ts'
import type { GuaranteeNumber } from '../../faults/violation.ts'
import { answered, ended, KEY_CHANGE, NOT_RUN, ONE_SLOT, PRELUDE, published, sent, served, shown, started, teamChange } from './sample-history.ts'

const OUT: Change = { kind: 'failureDomain', name: 'd1', value: { name: 'd1', state: 'out' } }
const IN: Change = { kind: 'failureDomain', name: 'd1', value: { name: 'd1', state: 'in' } }
const WITHDRAWN: Change = { ...KEY_CHANGE, value: null } as Change
const UNKNOWN_IN: History = [
  { at: 5000, type: 'publication-asked', ask: 'in', changes: [IN] },
  { at: 5100, type: 'publication-answered', ask: 'in', answer: { type: 'unknown' } }
]
const STOPPED = { type: 'stopped', checkpointed: false } as const
const CHECKPOINTED = { type: 'stopped', checkpointed: true } as const
const elsewhere = { target: 't2', attempt: 2 }
const SHUTDOWN: Observation = { at: 120, type: 'member-shutdown-asked', member: 'm1' }
const EXIT: Observation = { at: 300, type: 'member-exited', member: 'm1' }
const END: Observation = { at: 100_000, type: 'ended' }
const SHUTTING_DOWN = { type: 'refused', refusal: { reason: 'shutting-down', retryAfterMs: 1 }, verdict: 'not-run' } as const

const UNKNOWN = { type: 'refused', refusal: { reason: 'outcome-unknown', detail: '' }, verdict: 'may-have-run' } as const

/** `broken` is the guarantee that the history must be found to break; undefined for a correct history. */
type Case = { readonly guards: string, readonly of: GuaranteeNumber, readonly broken: boolean, readonly history: History }

const cases: readonly Case[] = [
  { of: 1, broken: false, guards: 'room is free again after an end and a death', history: [...served(100, 'a'), ...served(200, 'b'), sent(300, 'c'), sent(300, 'd'), started(301, 'c'), started(301, 'd'), { at: 302, type: 'target-died', target: 't1' }, ...served(400, 'e')] },
  { of: 1, broken: true, guards: 'a third task on two slots', history: ['a', 'b', 'c'].flatMap((call) => [sent(100, call), started(101, call)]) },
  { of: 1, broken: true, guards: 'one resource above capacity', history: [sent(100, 'a'), started(101, 'a', { resources: { ...ONE_SLOT, memoryMiB: 1 } })] },
  { of: 2, broken: false, guards: 'a restart after the first place is lost', history: [sent(100, 'a', { idempotent: true }), started(101, 'a'), ended(200, 'a', STOPPED), started(201, 'a', elsewhere)] },
  { of: 2, broken: true, guards: 'a second place before the first has ended', history: [sent(100, 'a', { idempotent: true }), started(101, 'a'), started(201, 'a', elsewhere), ended(202, 'a', STOPPED)] },
  { of: 2, broken: true, guards: 'the same request under two ids', history: [sent(100, 'a', { idempotent: true }), started(101, 'a'), started(102, 'a', { target: 't2', taskId: 'g1-x/0' })] },
  { of: 3, broken: false, guards: 'a withdrawn key that is refused, and an open queue', history: [...served(100, 'a'), ...published(1000, 2, [WITHDRAWN]), sent(9000, 'b'), answered(9001, 'b', NOT_RUN), sent(9000, 'c', { queue: 'public', key: undefined }), started(9002, 'c'), ended(9005, 'c'), answered(9006, 'c')] },
  { of: 3, broken: true, guards: 'a withdrawn key that still works', history: [...published(1000, 2, [WITHDRAWN]), ...served(9000, 'b')] },
  { of: 3, broken: true, guards: 'no key on a keyed queue', history: [sent(100, 'a', { key: undefined }), answered(101, 'a', { type: 'accepted', work: 'g0-a' })] },
  { of: 3, broken: true, guards: 'work run for another team', history: [sent(100, 'a'), started(101, 'a', { team: 'b' })] },
  { of: 3, broken: true, guards: 'work run that nobody sent', history: [started(101, 'a')] },
  { of: 4, broken: false, guards: 'a limit that was raised', history: [...published(20, 2, [teamChange({ ...ONE_SLOT, cpuMillis: 9000, slots: 9 })]), ...['a', 'b', 'c', 'd'].flatMap((call, index) => [sent(100, call), started(101, call, { target: `t${1 + Math.floor(index / 2)}` })])] },
  { of: 4, broken: true, guards: 'a fourth task across the fleet', history: ['a', 'b', 'c', 'd'].flatMap((call, index) => [sent(100, call), started(101, call, { target: `t${1 + Math.floor(index / 2)}` })]) },
  { of: 4, broken: true, guards: 'a start above a limit lowered long ago', history: [...published(20, 2, [teamChange(ONE_SLOT)]), sent(9000, 'a'), sent(9000, 'b'), started(9001, 'a'), started(9001, 'b')] },
  { of: 5, broken: false, guards: 'a start within the bound, in another domain, and after the return', history: [...published(1000, 2, [OUT]), ...served(3900, 'a'), sent(9000, 'b'), started(9001, 'b', { target: 't3' }), ended(9002, 'b', undefined, { target: 't3' }), ...published(10_000, 3, [IN]), ...served(10_020, 'c')] },
  { of: 5, broken: false, guards: 'a return whose acceptance is unknown', history: [...published(1000, 2, [OUT]), ...UNKNOWN_IN, ...served(9000, 'c')] },
  { of: 5, broken: true, guards: 'a start after the bound', history: [...published(1000, 2, [OUT]), ...served(4020, 'a')] },
  { of: 5, broken: true, guards: 'a start after an unknown return was superseded', history: [...UNKNOWN_IN, ...published(6000, 2, [OUT]), ...served(9900, 'a')] },
  { of: 6, broken: false, guards: 'interleaved calls, and a broken connection', history: [sent(100, 'a'), sent(100, 'b'), started(101, 'a'), started(102, 'b'), ended(110, 'b'), ended(111, 'a'), answered(112, 'b'), answered(113, 'a'), sent(114, 'c'), { at: 120, type: 'caller-disconnected', call: 'c', cause: 'member-died' }, END] },
  { of: 6, broken: true, guards: 'the output of another request', history: [sent(100, 'a'), started(101, 'a'), ended(102, 'a'), answered(103, 'a', { type: 'succeeded', output: 'out-b' })] },
  { of: 6, broken: true, guards: 'a truncated output', history: [sent(100, 'a'), started(101, 'a'), ended(102, 'a'), answered(103, 'a', { type: 'succeeded', output: 'out-' })] },
  { of: 6, broken: true, guards: 'two answers', history: [...served(100, 'a'), answered(160, 'a')] },
  { of: 6, broken: true, guards: 'no answer', history: [sent(100, 'a'), END] },
  { of: 6, broken: true, guards: 'a success that no target had', history: [sent(100, 'a'), started(101, 'a'), answered(103, 'a')] },
  { of: 7, broken: false, guards: 'a refusal followed by a repetition that runs', history: [sent(100, 'a'), answered(101, 'a', NOT_RUN), sent(200, 'a2', { token: 'r-a', expected: 'out-a' }), started(201, 'a'), ended(202, 'a'), answered(203, 'a2', { type: 'succeeded', output: 'out-a' })] },
  { of: 7, broken: true, guards: 'a start before the refusal', history: [sent(100, 'a'), started(101, 'a'), answered(102, 'a', NOT_RUN)] },
  { of: 7, broken: true, guards: 'a start after the refusal', history: [sent(100, 'a'), answered(102, 'a', { type: 'failed', reason: 'x', verdict: 'not-run' }), started(500, 'a')] },
  { of: 8, broken: false, guards: 'an idempotent restart and a checkpointed continuation', history: [sent(100, 'a', { idempotent: true }), started(101, 'a'), ended(102, 'a', STOPPED), started(103, 'a', elsewhere), sent(200, 'b', { kind: 'batch' }), started(201, 'b'), ended(202, 'b', CHECKPOINTED), started(203, 'b', elsewhere)] },
  { of: 8, broken: true, guards: 'a restart after a stop without checkpoint', history: [sent(100, 'a'), started(101, 'a'), ended(102, 'a', STOPPED), started(103, 'a', elsewhere)] },
  { of: 8, broken: true, guards: 'a repetition that runs again under another id', history: [...served(100, 'a'), sent(200, 'a2', { token: 'r-a' }), started(201, 'a', { taskId: 'g0-z/0' })] },
  { of: 9, broken: false, guards: 'a start within the bound and after the return', history: [{ at: 1000, type: 'target-leaving', target: 't1' }, ...served(3990, 'a'), { at: 8000, type: 'target-returned', target: 't1' }, ...served(9000, 'b')] },
  { of: 9, broken: true, guards: 'a start after the bound', history: [{ at: 1000, type: 'target-leaving', target: 't1' }, ...served(4010, 'a')] },
  { of: 10, broken: false, guards: 'answers before the exit, and a refusal of later calls', history: [sent(100, 'a'), SHUTDOWN, sent(130, 'b'), answered(131, 'b', SHUTTING_DOWN), started(140, 'a'), ended(150, 'a'), answered(151, 'a'), EXIT, END] },
  { of: 10, broken: true, guards: 'a connection broken by the exit', history: [sent(100, 'a'), started(101, 'a'), SHUTDOWN, EXIT, { at: 300, type: 'caller-disconnected', call: 'a', cause: 'member-exited' }, END] },
  { of: 10, broken: true, guards: 'an open call refused because of the shutdown', history: [sent(100, 'a'), SHUTDOWN, answered(130, 'a', SHUTTING_DOWN), EXIT, END] },
  { of: 10, broken: false, guards: 'an unknown outcome of a call that was overdue before the shutdown', history: [sent(100, 'a', { deadlineAt: 110 }), SHUTDOWN, answered(130, 'a', UNKNOWN), EXIT, END] },
  { of: 10, broken: false, guards: 'an unknown outcome of a call that stayed open until its deadline', history: [sent(100, 'a', { deadlineAt: 125 }), SHUTDOWN, answered(130, 'a', UNKNOWN), EXIT, END] },
  { of: 10, broken: true, guards: 'an unknown outcome of a call that was not yet due', history: [sent(100, 'a'), SHUTDOWN, answered(130, 'a', UNKNOWN), EXIT, END] },
  { of: 10, broken: true, guards: 'an exit that leaves a call open', history: [sent(100, 'a', { deadlineAt: undefined }), SHUTDOWN, EXIT, END] },
  { of: 11, broken: false, guards: 'a revision in force in time, and an old one only while not fresh', history: [shown(20, 1), ...published(1000, 2, []), shown(6900, 1), shown(9000, 1, { member: 'm2', fresh: false }), shown(9000, 2)] },
  { of: 11, broken: true, guards: 'an old revision in use after the bound', history: [...published(1000, 2, []), shown(7020, 1)] },
  { of: 11, broken: true, guards: 'a revision that reverts', history: [shown(100, 2), shown(200, 1, { fresh: false })] },
  { of: 11, broken: true, guards: 'one revision with two contents', history: [shown(100, 2), shown(100, 2, { member: 'm2', digest: 'other' })] },
  { of: 11, broken: true, guards: 'two publications accepted as one revision', history: [...published(1000, 2, []), ...published(1001, 2, [])] }
]

for (const entry of cases) {
  test(`guarantee ${entry.of} ${entry.broken ? 'catches' : 'allows'} ${entry.guards}`, () => {
    const history = [...PRELUDE, ...entry.history].map((observation, index) => ({ observation, index }))
      .sort((left, right) => left.observation.at - right.observation.at || left.index - right.index)
      .map(({ observation }) => observation)
    const violations = GUARANTEES[entry.of](history)
    if (entry.broken) {
      assert.notEqual(violations.length, 0)
      assert.ok(violations.every((violation) => violation.guarantee === entry.of && violation.evidence.length > 0))
    } else {
      assert.deepEqual(violations, [])
      assert.deepEqual(checkHistory(history), [])
    }
  })
}
