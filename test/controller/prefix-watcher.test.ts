import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import { PrefixWatcher } from '../../src/controller/prefix-watcher.ts'
import type { Store, StoreCall, StoreEntry } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'

const DEADLINE_MS = 5_000

/** A store whose watch calls return at once, with or without changes. */
function createStore (inner: InMemoryStore): Store {
  return {
    call: async (call: StoreCall) => {
      const { version } = inner
      const response = inner.call(0, call)
      if (response !== 'waiting') return ok(response)
      await wait(5)
      return ok({ type: 'watch', changes: [], version, compacted: false })
    }
  }
}

function put (inner: InMemoryStore, key: string, value: string): void {
  inner.call(0, { type: 'transact', compares: [], puts: [{ key, value }], deletes: [] })
}

function remove (inner: InMemoryStore, key: string): void {
  inner.call(0, { type: 'transact', compares: [], puts: [], deletes: [key] })
}

type View = { readonly entries: Map<string, string>, readonly logs: string[], readonly watcher: PrefixWatcher }

/** Follows `op/` as a member does; `onEntry` may throw. */
function follow (inner: InMemoryStore, onEntry: (entry: StoreEntry) => void = () => {}): View {
  const entries = new Map<string, string>()
  const logs: string[] = []
  const apply = (entry: StoreEntry): void => {
    onEntry(entry)
    entries.set(entry.key, entry.value)
  }
  const watcher = PrefixWatcher.create({
    store: createStore(inner),
    prefix: 'op/',
    waitMs: 5,
    reporter: { log: (_level, message) => logs.push(message), count: () => {}, observe: () => {} },
    onEntries: (all) => {
      entries.clear()
      all.forEach(apply)
    },
    onChanges: (changes) => {
      for (const change of changes) {
        if (change.type === 'put') apply(change.entry)
        else entries.delete(change.key)
      }
    }
  })
  return { entries, logs, watcher }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  const deadline = Date.now() + DEADLINE_MS
  while (!condition()) {
    if (Date.now() > deadline) assert.fail('not fulfilled in time')
    await wait(5)
  }
}

test('prefix watcher: a restarted process does not see what was removed before it started', async () => {
  const inner = InMemoryStore.create()
  put(inner, 'op/config', 'with the key')
  put(inner, 'op/evacuate/east', '')
  const before = follow(inner)
  await waitUntil(() => before.entries.size === 2)
  before.watcher.stop()
  put(inner, 'op/config', 'without the key')
  remove(inner, 'op/evacuate/east')
  const after = follow(inner)
  await waitUntil(() => after.entries.size > 0)
  after.watcher.stop()
  assert.deepEqual([...after.entries], [['op/config', 'without the key']])
})

test('prefix watcher: when the store has dropped the history, entries that were removed meanwhile are gone', async () => {
  const inner = InMemoryStore.create({ maxHistoryChanges: 2 })
  put(inner, 'op/evacuate/east', '')
  const view = follow(inner)
  await waitUntil(() => view.entries.size === 1)
  remove(inner, 'op/evacuate/east')
  for (let index = 0; index < 10; index++) put(inner, `other/${index}`, '')
  put(inner, 'op/config', 'new')
  await waitUntil(() => view.entries.has('op/config'))
  view.watcher.stop()
  assert.deepEqual([...view.entries.keys()], ['op/config'])
})

test('prefix watcher: an unexpected error while an entry is applied does not end the watch', async () => {
  const inner = InMemoryStore.create()
  let failures = 0
  const view = follow(inner, ({ value }) => {
    if (value !== 'poison' || failures > 0) return
    failures += 1
    throw new Error('unexpected')
  })
  put(inner, 'op/config', 'poison')
  await waitUntil(() => view.logs.includes('watch-failed'))
  put(inner, 'op/config', 'good')
  await waitUntil(() => view.entries.get('op/config') === 'good')
  view.watcher.stop()
})

// A watch that can't be received would fail again and again, and the entries would never be known.
test('prefix watcher: guards against the failure that changes which are too large for one response are never seen', async () => {
  const inner = InMemoryStore.create({ maxResponseBytes: 10 })
  const store = createStore(inner)
  const pages: string[][] = []
  const watcher = PrefixWatcher.create({
    store: { call: async (call) => call.type === 'watch' && inner.version > call.afterVersion ? err({ reason: 'too-large', verdict: 'may-have-applied' }) : await store.call(call) },
    prefix: 'op/',
    waitMs: 5,
    readsByPage: true,
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    onEntries: (entries) => { if (entries.length > 0) pages.push(entries.map(({ key }) => key)) },
    onChanges: () => {}
  })
  await wait(20)
  put(inner, 'op/a', 'x'.repeat(20))
  put(inner, 'op/b', 'x'.repeat(20))
  const deadline = performance.now() + DEADLINE_MS
  while (!pages.some(([key]) => key === 'op/b') && performance.now() < deadline) await wait(5)
  watcher.stop()
  assert.deepEqual(pages.filter(([key]) => key === 'op/b')[0], ['op/b'])
  assert.ok(pages.every((keys) => keys.length === 1), JSON.stringify(pages))
})
