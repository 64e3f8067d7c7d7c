import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Change } from '../../src/model/configuration.ts'
import type { History, Observation } from '../../faults/history.ts'
import { checkHistory, GUARANTEES } from '../../faults/checker.ts'
import type { GuaranteeNumber } from '../../faults/violation.ts'
import { answered, ended, KEY_CHANGE, NOT_RUN, ONE_SLOT, INITIAL_HISTORY, published, sent, completedCall, shown, started, createTeamChange } from './sample-history.ts'

const DOMAIN_OUT: Change = { kind: 'failureDomain', name: 'd1', value: { name: 'd1', state: 'out' } }
const DOMAIN_IN: Change = { kind: 'failureDomain', name: 'd1', value: { name: 'd1', state: 'in' } }
const KEY_WITHDRAWN: Change = { ...KEY_CHANGE, value: null } as Change
const DOMAIN_IN_OUTCOME_UNKNOWN: History = [
  { at: 5000, type: 'publication-asked', ask: 'in', changes: [DOMAIN_IN] },
  { at: 5100, type: 'publication-answered', ask: 'in', answer: { type: 'unknown' } }
]
const STOPPED = { type: 'stopped', checkpointed: false } as const
const CHECKPOINTED = { type: 'stopped', checkpointed: true } as const
const SECOND_PLACE = { target: 't2', attempt: 2 }
const SHUTDOWN_REQUESTED: Observation = { at: 120, type: 'member-shutdown-asked', member: 'm1' }
const MEMBER_EXIT: Observation = { at: 300, type: 'member-exited', member: 'm1' }
const HISTORY_END: Observation = { at: 100_000, type: 'ended' }
const SHUTTING_DOWN = { type: 'refused', refusal: { reason: 'shutting-down', retryAfterMs: 1 }, verdict: 'not-run' } as const

const OUTCOME_UNKNOWN = { type: 'refused', refusal: { reason: 'outcome-unknown', detail: '' }, verdict: 'may-have-run' } as const

/** `isViolation`: whether the check of `guarantee` must find a violation in the history. */
type Case = { readonly guards: string, readonly guarantee: GuaranteeNumber, readonly isViolation: boolean, readonly history: History }

const cases: readonly Case[] = [
  { guarantee: 1, isViolation: false, guards: 'starts that reuse capacity after a completion and after the death of a target', history: [...completedCall(100, 'a'), ...completedCall(200, 'b'), sent(300, 'c'), sent(300, 'd'), started(301, 'c'), started(301, 'd'), { at: 302, type: 'target-died', target: 't1' }, ...completedCall(400, 'e')] },
  { guarantee: 1, isViolation: true, guards: 'a third task on a target with two slots', history: ['a', 'b', 'c'].flatMap((call) => [sent(100, call), started(101, call)]) },
  { guarantee: 1, isViolation: true, guards: 'a task that exceeds the capacity in one resource', history: [sent(100, 'a'), started(101, 'a', { resources: { ...ONE_SLOT, memoryMiB: 1 } })] },
  { guarantee: 2, isViolation: false, guards: 'a restart on a second target after the first attempt has ended', history: [sent(100, 'a', { idempotent: true }), started(101, 'a'), ended(200, 'a', STOPPED), started(201, 'a', SECOND_PLACE)] },
  { guarantee: 2, isViolation: true, guards: 'a start on a second target before the first attempt has ended', history: [sent(100, 'a', { idempotent: true }), started(101, 'a'), started(201, 'a', SECOND_PLACE), ended(202, 'a', STOPPED)] },
  { guarantee: 2, isViolation: true, guards: 'the same request under two ids', history: [sent(100, 'a', { idempotent: true }), started(101, 'a'), started(102, 'a', { target: 't2', taskId: 'g1-x/0' })] },
  { guarantee: 3, isViolation: false, guards: 'a withdrawn key that is refused, and an open queue', history: [...completedCall(100, 'a'), ...published(1000, 2, [KEY_WITHDRAWN]), sent(9000, 'b'), answered(9001, 'b', NOT_RUN), sent(9000, 'c', { queue: 'public', key: undefined }), started(9002, 'c'), ended(9005, 'c'), answered(9006, 'c')] },
  { guarantee: 3, isViolation: true, guards: 'a call that is accepted with a withdrawn key', history: [...published(1000, 2, [KEY_WITHDRAWN]), ...completedCall(9000, 'b')] },
  { guarantee: 3, isViolation: true, guards: 'a call that is accepted without a key on a queue with keys', history: [sent(100, 'a', { key: undefined }), answered(101, 'a', { type: 'accepted', work: 'g0-a' })] },
  { guarantee: 3, isViolation: true, guards: 'work that runs for another team', history: [sent(100, 'a'), started(101, 'a', { team: 'b' })] },
  { guarantee: 3, isViolation: true, guards: 'work that runs without a request', history: [started(101, 'a')] },
  { guarantee: 4, isViolation: false, guards: 'a limit that was raised', history: [...published(20, 2, [createTeamChange({ ...ONE_SLOT, cpuMillis: 9000, slots: 9 })]), ...['a', 'b', 'c', 'd'].flatMap((call, index) => [sent(100, call), started(101, call, { target: `t${1 + Math.floor(index / 2)}` })])] },
  { guarantee: 4, isViolation: true, guards: 'a fourth task on several targets at a team limit of three', history: ['a', 'b', 'c', 'd'].flatMap((call, index) => [sent(100, call), started(101, call, { target: `t${1 + Math.floor(index / 2)}` })]) },
  { guarantee: 4, isViolation: true, guards: 'a start above a limit lowered long ago', history: [...published(20, 2, [createTeamChange(ONE_SLOT)]), sent(9000, 'a'), sent(9000, 'b'), started(9001, 'a'), started(9001, 'b')] },
  { guarantee: 5, isViolation: false, guards: 'a start within the bound, in another domain, and after the return', history: [...published(1000, 2, [DOMAIN_OUT]), ...completedCall(3900, 'a'), sent(9000, 'b'), started(9001, 'b', { target: 't3' }), ended(9002, 'b', undefined, { target: 't3' }), ...published(10_000, 3, [DOMAIN_IN]), ...completedCall(10_020, 'c')] },
  { guarantee: 5, isViolation: false, guards: 'a return whose acceptance is unknown', history: [...published(1000, 2, [DOMAIN_OUT]), ...DOMAIN_IN_OUTCOME_UNKNOWN, ...completedCall(9000, 'c')] },
  { guarantee: 5, isViolation: true, guards: 'a start after the bound', history: [...published(1000, 2, [DOMAIN_OUT]), ...completedCall(4020, 'a')] },
  { guarantee: 5, isViolation: true, guards: 'a start after a return of unknown acceptance was superseded', history: [...DOMAIN_IN_OUTCOME_UNKNOWN, ...published(6000, 2, [DOMAIN_OUT]), ...completedCall(9900, 'a')] },
  { guarantee: 6, isViolation: false, guards: 'interleaved calls, and a broken connection', history: [sent(100, 'a'), sent(100, 'b'), started(101, 'a'), started(102, 'b'), ended(110, 'b'), ended(111, 'a'), answered(112, 'b'), answered(113, 'a'), sent(114, 'c'), { at: 120, type: 'caller-disconnected', call: 'c', cause: 'member-died' }, HISTORY_END] },
  { guarantee: 6, isViolation: true, guards: 'the output of another request', history: [sent(100, 'a'), started(101, 'a'), ended(102, 'a'), answered(103, 'a', { type: 'succeeded', output: 'out-b' })] },
  { guarantee: 6, isViolation: true, guards: 'a truncated output', history: [sent(100, 'a'), started(101, 'a'), ended(102, 'a'), answered(103, 'a', { type: 'succeeded', output: 'out-' })] },
  { guarantee: 6, isViolation: true, guards: 'two answers', history: [...completedCall(100, 'a'), answered(160, 'a')] },
  { guarantee: 6, isViolation: true, guards: 'no answer', history: [sent(100, 'a'), HISTORY_END] },
  { guarantee: 6, isViolation: true, guards: 'a successful answer without a successful task', history: [sent(100, 'a'), started(101, 'a'), answered(103, 'a')] },
  { guarantee: 7, isViolation: false, guards: 'a refused request whose retry runs', history: [sent(100, 'a'), answered(101, 'a', NOT_RUN), sent(200, 'a2', { token: 'r-a', expected: 'out-a' }), started(201, 'a'), ended(202, 'a'), answered(203, 'a2', { type: 'succeeded', output: 'out-a' })] },
  { guarantee: 7, isViolation: true, guards: 'a start before the refusal', history: [sent(100, 'a'), started(101, 'a'), answered(102, 'a', NOT_RUN)] },
  { guarantee: 7, isViolation: true, guards: 'a start after the refusal', history: [sent(100, 'a'), answered(102, 'a', { type: 'failed', reason: 'x', verdict: 'not-run' }), started(500, 'a')] },
  { guarantee: 8, isViolation: false, guards: 'an idempotent restart and a checkpointed continuation', history: [sent(100, 'a', { idempotent: true }), started(101, 'a'), ended(102, 'a', STOPPED), started(103, 'a', SECOND_PLACE), sent(200, 'b', { kind: 'batch' }), started(201, 'b'), ended(202, 'b', CHECKPOINTED), started(203, 'b', SECOND_PLACE)] },
  { guarantee: 8, isViolation: true, guards: 'a restart after a stop without checkpoint', history: [sent(100, 'a'), started(101, 'a'), ended(102, 'a', STOPPED), started(103, 'a', SECOND_PLACE)] },
  { guarantee: 8, isViolation: true, guards: 'a retry that runs a second time under another id', history: [...completedCall(100, 'a'), sent(200, 'a2', { token: 'r-a' }), started(201, 'a', { taskId: 'g0-z/0' })] },
  { guarantee: 9, isViolation: false, guards: 'a start within the bound and after the return', history: [{ at: 1000, type: 'target-leaving', target: 't1' }, ...completedCall(3990, 'a'), { at: 8000, type: 'target-returned', target: 't1' }, ...completedCall(9000, 'b')] },
  { guarantee: 9, isViolation: true, guards: 'a start after the bound', history: [{ at: 1000, type: 'target-leaving', target: 't1' }, ...completedCall(4010, 'a')] },
  { guarantee: 10, isViolation: false, guards: 'answers before the exit, and a refusal of later calls', history: [sent(100, 'a'), SHUTDOWN_REQUESTED, sent(130, 'b'), answered(131, 'b', SHUTTING_DOWN), started(140, 'a'), ended(150, 'a'), answered(151, 'a'), MEMBER_EXIT, HISTORY_END] },
  { guarantee: 10, isViolation: true, guards: 'a connection broken by the exit', history: [sent(100, 'a'), started(101, 'a'), SHUTDOWN_REQUESTED, MEMBER_EXIT, { at: 300, type: 'caller-disconnected', call: 'a', cause: 'member-exited' }, HISTORY_END] },
  { guarantee: 10, isViolation: true, guards: 'an open call refused because of the shutdown', history: [sent(100, 'a'), SHUTDOWN_REQUESTED, answered(130, 'a', SHUTTING_DOWN), MEMBER_EXIT, HISTORY_END] },
  { guarantee: 10, isViolation: false, guards: 'an unknown outcome of a call that was overdue before the shutdown', history: [sent(100, 'a', { deadlineAt: 110 }), SHUTDOWN_REQUESTED, answered(130, 'a', OUTCOME_UNKNOWN), MEMBER_EXIT, HISTORY_END] },
  { guarantee: 10, isViolation: false, guards: 'an unknown outcome of a call that stayed open until its deadline', history: [sent(100, 'a', { deadlineAt: 125 }), SHUTDOWN_REQUESTED, answered(130, 'a', OUTCOME_UNKNOWN), MEMBER_EXIT, HISTORY_END] },
  { guarantee: 10, isViolation: true, guards: 'an unknown outcome of a call that was not yet due', history: [sent(100, 'a'), SHUTDOWN_REQUESTED, answered(130, 'a', OUTCOME_UNKNOWN), MEMBER_EXIT, HISTORY_END] },
  { guarantee: 10, isViolation: true, guards: 'an exit that leaves a call open', history: [sent(100, 'a', { deadlineAt: undefined }), SHUTDOWN_REQUESTED, MEMBER_EXIT, HISTORY_END] },
  { guarantee: 11, isViolation: false, guards: 'a revision in force in time, and an old one only while not fresh', history: [shown(20, 1), ...published(1000, 2, []), shown(6900, 1), shown(9000, 1, { member: 'm2', fresh: false }), shown(9000, 2)] },
  { guarantee: 11, isViolation: true, guards: 'an old revision in use after the bound', history: [...published(1000, 2, []), shown(7020, 1)] },
  { guarantee: 11, isViolation: true, guards: 'a revision that reverts', history: [shown(100, 2), shown(200, 1, { fresh: false })] },
  { guarantee: 11, isViolation: true, guards: 'one revision with different contents on two members', history: [shown(100, 2), shown(100, 2, { member: 'm2', digest: 'other' })] },
  { guarantee: 11, isViolation: true, guards: 'two publications accepted as one revision', history: [...published(1000, 2, []), ...published(1001, 2, [])] }
]

for (const entry of cases) {
  test(`guarantee ${entry.guarantee} ${entry.isViolation ? 'catches' : 'allows'} ${entry.guards}`, () => {
    const history = [...INITIAL_HISTORY, ...entry.history].map((observation, index) => ({ observation, index }))
      .sort((left, right) => left.observation.at - right.observation.at || left.index - right.index)
      .map(({ observation }) => observation)
    const violations = GUARANTEES[entry.guarantee](history)
    if (entry.isViolation) {
      assert.notEqual(violations.length, 0)
      assert.ok(violations.every((violation) => violation.guarantee === entry.guarantee && violation.evidence.length > 0))
    } else {
      assert.deepEqual(violations, [])
      assert.deepEqual(checkHistory(history), [])
    }
  })
}
