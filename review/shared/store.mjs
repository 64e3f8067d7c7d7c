// Stand-in for the platform's store, as PROTOCOL.md describes it: revisions, conditions, leases, ranges and watches.
import { listenJson } from './http.mjs'

const ANSWER_MS = 4
const PAGE_ITEMS = 500
const MAX_ENTRIES = 32
const HISTORY_MS = 20_000
const MAX_WATCH_MS = 30_000
const MIN_TTL_MS = 1_000

export class Store {
  items = new Map()
  history = []
  leases = new Map()
  revision = 100
  nextLease = 1
  waiters = new Set()
  forgottenRevision = 100

  constructor (valueBytes) {
    this.valueBytes = valueBytes
  }

  static async listen ({ host, valueBytes = 1_048_576 }) {
    const store = new Store(valueBytes)
    store.server = await listenJson({ host, port: 0, handle: (call) => store.handle(call) })
    store.address = store.server.address
    store.timer = setInterval(() => store.expire(), 20)
    return store
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
  }

  /** Writes as the operator or a worker does. */
  put (key, content) {
    this.write([{ key, value: Buffer.from(JSON.stringify(content)).toString('base64') }], [])
  }

  remove (key) {
    this.write([], [key])
  }

  read (key) {
    const item = this.items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  async handle ({ method, path, query, body }) {
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS))
    if (path === '/kv-key') return this.readKey(query.get('key'))
    if (path === '/kv-range') return this.readRange(query.get('prefix') ?? '', query.get('after') ?? '')
    if (path === '/kv-watch') return this.watch(query.get('prefix') ?? '', Number(query.get('after')), Math.min(MAX_WATCH_MS, Number(query.get('waitMs') ?? 0)))
    if (path === '/kv-txn') return this.transact(body)
    if (path === '/kv-lease') return this.grantLease(body.ttlMs)
    const id = Number(path.split('/').at(-1))
    if (path.startsWith('/kv-keep/')) return this.keepLease(id)
    if (method === 'DELETE' && path.startsWith('/kv-lease-end/')) return this.endLease(id)
    return { status: 404 }
  }

  readKey (key) {
    const item = this.items.get(key)
    return item === undefined ? { status: 404, body: { currentRev: this.revision } } : { status: 200, body: { ...item, currentRev: this.revision } }
  }

  readRange (prefix, after) {
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
    const page = keys.slice(0, PAGE_ITEMS).map((key) => this.items.get(key))
    return { status: 200, body: { items: page, hasMore: keys.length > PAGE_ITEMS, currentRev: this.revision } }
  }

  async watch (prefix, after, waitMs) {
    const until = performance.now() + waitMs
    for (;;) {
      if (after < this.forgottenRevision) return { status: 410 }
      const events = this.history.filter(({ event }) => event.revision > after && event.key.startsWith(prefix)).map(({ event }) => event)
      const restMs = until - performance.now()
      if (events.length > 0 || restMs <= 0) return { status: 200, body: { events, currentRev: this.revision } }
      await this.waitForChange(restMs)
    }
  }

  waitForChange (ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, ms)
      this.waiters.add(wake)
    })
  }

  transact ({ precondition = [], puts = [], remove = [] }) {
    if (precondition.length + puts.length + remove.length > MAX_ENTRIES) return { status: 400 }
    if (puts.some(({ value }) => Buffer.byteLength(value, 'base64') > this.valueBytes)) return { status: 400 }
    if ([...puts.map(({ key }) => key), ...remove].some((key) => key.startsWith('op/') || key.startsWith('servers/'))) return { status: 403 }
    if (puts.some(({ lease }) => lease !== undefined && lease !== 0 && !this.leases.has(lease))) return { status: 404 }
    if (!precondition.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision)) {
      return { status: 412, body: { items: precondition.flatMap(({ key }) => this.items.get(key) ?? []) } }
    }
    this.write(puts, remove)
    return { status: 200, body: { revision: this.revision } }
  }

  write (puts, removed) {
    this.revision += 1
    const { revision } = this
    for (const { key, value, lease = 0 } of puts) {
      const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease }
      this.items.set(key, item)
      this.history.push({ at: performance.now(), event: item })
    }
    for (const key of removed) {
      if (this.items.delete(key)) this.history.push({ at: performance.now(), event: { key, revision, deleted: true } })
    }
    this.dropHistory()
    for (const wake of [...this.waiters]) wake()
  }

  dropHistory () {
    while (this.history.length > 0 && performance.now() - this.history[0].at > HISTORY_MS) this.forgottenRevision = this.history.shift().event.revision
  }

  grantLease (ttlMs) {
    const lease = this.nextLease++
    const granted = Math.max(MIN_TTL_MS, ttlMs)
    this.leases.set(lease, { ttlMs: granted, endsAt: performance.now() + granted })
    return { status: 200, body: { lease, ttlMs: granted } }
  }

  keepLease (id) {
    const lease = this.leases.get(id)
    if (lease === undefined) return { status: 404 }
    lease.endsAt = performance.now() + lease.ttlMs
    return { status: 200, body: { ttlMs: lease.ttlMs } }
  }

  endLease (id) {
    if (!this.leases.delete(id)) return { status: 404 }
    const keys = [...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key)
    if (keys.length > 0) this.write([], keys)
    return { status: 200 }
  }

  expire () {
    for (const [id, { endsAt }] of this.leases) {
      if (endsAt <= performance.now()) this.endLease(id)
    }
  }
}
