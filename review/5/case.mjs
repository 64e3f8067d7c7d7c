// A version of the configuration lowers a tenant's `maximum`; a job that still fits under it never starts.
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { BOUNDS, findStarvedJobs, runCase } from '../shared/cell.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const KEY = 'key-of-zuu'
const QUEUES = { audit: 2, watch: 1 }
const HIGH_CPU = 14_000
const LOW_CPU = 10_000
const createRoute = (host, [name, priority]) => ({ name: `r-${name}`, host, prefix: `/${name}/`, kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 1200, priority, service: 'kit', maxAttempts: 2, stretch: 2.2, public: false })
const configureWith = (cpu) => (host) => ({
  routes: Object.entries(QUEUES).map((queue) => createRoute(host, queue)),
  tenants: [{ name: 'zuu', apiKeys: [KEY], priority: 1, weight: 6, maximum: { cpu, memMb: 400_000, gpu: 0 } }]
})
/** Uses 46% of the lower maximum for good. */
const WATCHERS = { route: 'watch', key: KEY, spec: { lasts: true }, steps: [{ count: 2, cpu: 2300, memMb: 512, estimatedMs: 300, longRunning: true }] }
/** With the watchers it needs 89% of the lower maximum. */
const AUDIT = { route: 'audit', key: KEY, spec: { ms: 1_000 }, steps: [{ count: 1, cpu: 4300, memMb: 512, estimatedMs: 1000 }] }

await runCase(FOLDER, { workers: Array.from({ length: 8 }, () => ({ cpu: 16_000 })), configure: configureWith(HIGH_CPU) }, async (cell, trouble) => {
  const watchers = await cell.submit(WATCHERS)
  await cell.submit(AUDIT)
  await cell.waitUntil('the watchers run', 5_000, () => watchers.running.size === 2)
  await sleep(3_000)
  if (trouble) cell.publish(configureWith(LOW_CPU))
  await sleep(BOUNDS.configApplyMs)
  for (let number = 0; number < 4; number += 1) {
    await cell.submit(AUDIT)
    await sleep(1_500)
  }
  cell.record('traffic-ended')
  await sleep(BOUNDS.finish_s * 1000)
  return findStarvedJobs(cell)
})
