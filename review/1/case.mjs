// Connections to the advice service are reset, those of one machine at a time.
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { BOUNDS, findStarvedJobs, runCase } from '../shared/cell.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const KEY = 'key-of-zuu'
const TRAFFIC_S = 16
const RESET_AFTER_S = 5
const RESETS = 24
const RESET_GAP_MS = 250
/** Two queues of the operators' example: an urgent one, and one whose advice takes longer. */
const QUEUES = {
  alarm: { gapMs: 150, priority: 0, advice: { decisionMs: 40, eachMs: 0.4, validityMs: 2500 }, spec: { ms: 1000 }, steps: [{ count: 2, cpu: 1000, memMb: 256, estimatedMs: 1000 }] },
  audit: { gapMs: 700, priority: 2, advice: { decisionMs: 370, eachMs: 5.3, validityMs: 2500 }, spec: { ms: 1500 }, steps: [{ count: 2, cpu: 2000, memMb: 512, estimatedMs: 1500 }] }
}

const createRoute = (host, name) => ({ name: `r-${name}`, host, prefix: `/${name}/`, kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 1200, priority: QUEUES[name].priority, service: 'kit', maxAttempts: 2, stretch: 2.2, advice: QUEUES[name].advice, public: false })
const configure = (host) => ({
  routes: Object.keys(QUEUES).map((name) => createRoute(host, name)),
  tenants: [{ name: 'zuu', apiKeys: [KEY], priority: 1, weight: 6, maximum: { cpu: 100_000, memMb: 400_000, gpu: 0 } }]
})

await runCase(FOLDER, { workers: Array.from({ length: 8 }, () => ({ cpu: 16_000 })), configure }, async (cell, trouble) => {
  const jobs = []
  const send = async (route, { gapMs, advice, spec, steps }) => {
    const until = performance.now() + TRAFFIC_S * 1000
    while (performance.now() < until) {
      jobs.push(cell.submit({ route, key: KEY, advice, spec, steps }))
      await sleep(gapMs)
    }
  }
  const traffic = Promise.all(Object.entries(QUEUES).map(([route, queue]) => send(route, queue)))
  await sleep(RESET_AFTER_S * 1000)
  for (let number = 0; number < (trouble ? RESETS : 0); number += 1) {
    const member = cell.members.find(({ advisor }) => advisor.inWork > 0)
    const connections = member?.advisorLink.resetOpen()
    if (member !== undefined) cell.record('connections-reset', { member: member.name, connections })
    await sleep(RESET_GAP_MS)
  }
  await traffic
  await Promise.all(jobs)
  cell.record('traffic-ended', { jobs: jobs.length })
  await sleep(BOUNDS.finish_s * 1000)
  return findStarvedJobs(cell)
})
