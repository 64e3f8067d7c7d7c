// A worker is lost for good; afterwards a job for which every other worker has room never starts.
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { BOUNDS, findStarvedJobs, runCase } from '../shared/cell.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const KEY = 'key-of-zuu'
const QUEUES = { audit: 2, watch: 1 }
const WORKERS = 8
const createRoute = (host, [name, priority]) => ({ name: `r-${name}`, host, prefix: `/${name}/`, kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 1200, priority, service: 'kit', maxAttempts: 2, stretch: 2.2, public: false })
const configure = (host) => ({
  routes: Object.entries(QUEUES).map((queue) => createRoute(host, queue)),
  tenants: [{ name: 'zuu', apiKeys: [KEY], priority: 1, weight: 6, maximum: { cpu: 200_000, memMb: 400_000, gpu: 0 } }]
})
/** One task on each worker but one. */
const WATCHERS = { route: 'watch', key: KEY, spec: { lasts: true }, steps: [{ count: WORKERS - 1, cpu: 1000, memMb: 512, estimatedMs: 300, longRunning: true, antiAffinity: 1 }] }
/** Three quarters of a worker: 7 of 8 cores with a watcher. */
const AUDIT = { route: 'audit', key: KEY, spec: { ms: 1_000 }, steps: [{ count: 1, cpu: 6000, memMb: 512, estimatedMs: 1000 }] }

await runCase(FOLDER, { workers: Array.from({ length: WORKERS }, () => ({ cpu: 8_000 })), configure }, async (cell, trouble) => {
  const watchers = await cell.submit(WATCHERS)
  await cell.waitUntil('the watchers run', 5_000, () => watchers.running.size === WORKERS - 1)
  await cell.submit(AUDIT)
  await sleep(3_000)
  const free = cell.workers.find(({ runs }) => runs.size === 0)
  if (trouble) free.crash()
  await sleep(2_000)
  for (let number = 0; number < 4; number += 1) {
    await cell.submit(AUDIT)
    await sleep(1_500)
  }
  cell.record('traffic-ended')
  await sleep(BOUNDS.finish_s * 1000)
  return findStarvedJobs(cell)
})
