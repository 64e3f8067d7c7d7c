import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { ok } from 'neverthrow'
import { PollInterval } from '../../src/controller/poll-interval.ts'
import { StoreFeed } from '../../src/controller/store-feed.ts'
import { cancelKey, jobKey } from '../../src/controller/store-keys.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { buildJob } from '../workflow/harness.ts'

const paces = [
  { guards: 'seldom while members tell of every job', untoldAt: [], now: 10_000, pauseMs: 1_000 },
  { guards: 'often once a job was found that no member told of', untoldAt: [10_000], now: 10_500, pauseMs: 120 },
  { guards: 'seldom again when the cut is over', untoldAt: [10_000, 11_000], now: 14_000, pauseMs: 1_000 }
]

for (const { guards, untoldAt, now, pauseMs } of paces) {
  test(`poll interval: the leader reads the jobs ${guards}, so that jobs of members that are cut off do not wait`, () => {
    const pollInterval = PollInterval.create()
    untoldAt.forEach((at) => pollInterval.noteUntold(at))
    assert.equal(pollInterval.pauseMs(now), pauseMs)
  })
}

test('store feed: jobs, cancellings and targets in the store become events; unreadable ones do not stop the others', async () => {
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
    report: { log: () => {}, count: () => {}, observe: () => {} },
    targetPrefix: 'servers/',
    readTarget: (key, value) => value === 'good' ? { id: key.slice('servers/'.length) } as never : undefined,
    apply: (event) => { events.push(event.type) },
    isKnown: () => false,
    onTargetsRead: () => { events.push('targets-read') }
  })
  feed.follow()
  while (!events.includes('job-cancelled') || !events.includes('targets-read')) await wait(5)
  feed.stop()
  assert.deepEqual(events.filter((type) => type.startsWith('job-')), ['job-accepted', 'job-cancelled'])
  assert.deepEqual(events.filter((type) => type.startsWith('target')), ['target-published', 'target-withdrawn', 'targets-read'])
})
