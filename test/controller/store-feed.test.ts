import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { ok } from 'neverthrow'
import { PollInterval } from '../../src/controller/poll-interval.ts'
import { StoreFeed } from '../../src/controller/store-feed.ts'
import { cancelKey, jobKey } from '../../src/controller/records/store-keys.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { buildJob } from '../workflow/harness.ts'

const pollIntervals = [
  { guards: 'infrequently while members announce every job', unannouncedAt: [], now: 10_000, intervalMs: 1_000 },
  { guards: 'frequently after an unannounced job was found', unannouncedAt: [10_000], now: 10_500, intervalMs: 120 },
  { guards: 'infrequently again some time after the last unannounced job', unannouncedAt: [10_000, 11_000], now: 14_000, intervalMs: 1_000 }
]

for (const { guards, unannouncedAt, now, intervalMs } of pollIntervals) {
  test(`poll interval: the leader reads the jobs ${guards}, so that jobs of members that cannot reach it do not wait long`, () => {
    const pollInterval = PollInterval.create()
    unannouncedAt.forEach((at) => pollInterval.recordUnannouncedJob(at))
    assert.equal(pollInterval.getIntervalMs(now), intervalMs)
  })
}

test('store feed: jobs, cancellations and targets in the store become events, and unreadable ones do not block the others', async () => {
  const inner = InMemoryStore.create()
  const puts = [
    { key: jobKey('a'), value: JSON.stringify(buildJob('a', {})) },
    { key: jobKey('broken'), value: '{' },
    { key: cancelKey('a'), value: '{}' },
    { key: 'servers/t1', value: 'good' },
    { key: 'servers/t2', value: 'bad' }
  ]
  inner.call(0, { type: 'transact', compares: [], puts, deletes: [] })
  const events: string[] = []
  const feed = StoreFeed.create({
    store: {
      call: async (call) => {
        const answer = inner.call(0, call)
        if (answer !== 'waiting') return ok(answer)
        await wait(50)
        return ok({ type: 'watch', changes: [], version: inner.version, compacted: false })
      }
    },
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    targetPrefix: 'servers/',
    parseTarget: (key, value) => value === 'good' ? { id: key.slice('servers/'.length) } as never : undefined,
    applyEvent: (event) => { events.push(event.type) },
    isKnownJob: () => false,
    mayAcceptJobs: () => true,
    onTargetsRead: () => { events.push('targets-read') }
  })
  feed.start()
  while (!events.includes('job-cancelled') || !events.includes('targets-read')) await wait(5)
  feed.stop()
  assert.deepEqual(events.filter((type) => type.startsWith('job-')), ['job-accepted', 'job-cancelled'])
  assert.deepEqual(events.filter((type) => type.startsWith('target')), ['target-published', 'target-withdrawn', 'targets-read'])
})
