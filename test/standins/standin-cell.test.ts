import assert from 'node:assert/strict'
import { test } from 'node:test'
import { HttpHostList } from '../../src/adapters/http-host-list.ts'
import { HttpStore } from '../../src/adapters/http-store.ts'
import { HttpTargetClient } from '../../src/adapters/http-target-client.ts'
import { startStandinCell } from '../../src/standins/standin-cell.ts'
import { createWork } from './fixtures.ts'

test('each listed target accepts adopt and start under its own address, and no rack spans two failure domains', async () => {
  const cell = await startStandinCell({ targets: 20, failureDomains: ['bole', 'kality'], targetsPerRack: 4 })
  const hosts = HttpHostList.create({ address: cell.hostListAddress })
  const store = HttpStore.create({ address: cell.storeAddress })
  const client = HttpTargetClient.create()
  try {
    const { targets } = (await hosts.read())._unsafeUnwrap()
    assert.equal(new Set(targets.map((target) => target.address)).size, 20)
    const domainsOfRack = new Map(targets.map((target) => [target.rack, target.failureDomain]))
    assert.equal(domainsOfRack.size, 6)
    assert.equal(targets.every((target) => domainsOfRack.get(target.rack) === target.failureDomain), true)
    assert.ok((await store.call({ type: 'grant-lease', ttlMs: 1_000 })).isOk())
    for (const target of targets) {
      const owner = { group: 0, epoch: 1, lease: 1 }
      const adopted = (await client.call(target, { type: 'adopt', ...owner, leaseMs: 60_000 }))._unsafeUnwrap()
      assert.ok(adopted.type === 'adopt' && adopted.upMs < 600_000, 'upMs of a target that has just started must be small')
      const taskId = `g0-${target.id}/0`
      await client.call(target, { type: 'start', ...owner, taskId, attempt: 1, work: createWork(`g0-${target.id}`, { runMs: 0 }) })
    }
    const runs = cell.executions()
    assert.deepEqual(runs.map((run) => run.taskId).sort(), targets.map((target) => `g0-${target.id}/0`).sort())
    assert.equal(runs.every((run) => run.taskId === `g0-${run.target}/0`), true)
  } finally {
    for (const adapter of [hosts, store, client]) adapter.close()
    await cell.close()
  }
})
