import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { playSoak } from '../../soak/soak-run.ts'

/** The first plays each time; a seed that has ever failed joins the list with a line on the cause. */
const SEEDS = [1]

for (const seed of SEEDS) {
  test(`soak: seed ${seed} keeps the promises of the platform's rules under kills, pauses and cut links`, async () => {
    const built = spawnSync(process.execPath, ['scripts/build-platform.mjs'], { encoding: 'utf8' })
    assert.equal(built.status, 0, built.stderr)
    const folder = mkdtempSync(join(tmpdir(), 'damaskfield-soak-'))
    const report = await playSoak({ seed, seconds: 8, members: 3, workers: 4, jobsPerSecond: 5, bundle: 'target/damaskfield-platform.mjs', folder, subnet: 10 + process.pid % 10 })
    assert.deepEqual(report.breaches, [], `logs: ${folder}`)
    assert.ok(report.faults.length >= 3 && report.accepted >= 20, JSON.stringify(report))
  })
}
