import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'node:test'
import { inspectProcess } from '../../faults/processes/inspect-process.ts'
import { ProcessCell } from '../../faults/processes/process-cell.ts'

const cases = [
  { guards: 'a child process', script: "require('child_process').spawn('sleep', ['20'])", expected: /^child processes/ },
  { guards: 'a file that is open for writing', script: "require('fs').openSync(process.argv[1], 'w'); setTimeout(() => {}, 20000)", expected: /open for writing$/ }
]

for (const { guards, script, expected } of cases) {
  test(`process inspection finds ${guards}`, async () => {
    const folder = mkdtempSync(join(tmpdir(), 'damaskfield-inspect-'))
    const child = spawn(process.execPath, ['-e', `${script}; console.log('ready')`, join(folder, 'written')], { stdio: ['ignore', 'pipe', 'inherit'], detached: true, env: { PATH: process.env.PATH } })
    await new Promise((resolve) => child.stdout.once('data', resolve))
    const found = inspectProcess(child.pid!)
    process.kill(-child.pid!, 'SIGKILL')
    rmSync(folder, { recursive: true })
    assert.match(found.join('\n'), expected)
  })
}

test('a member under load has no child process, no io_uring, no file open for writing and no shared memory', async () => {
  const cell = await ProcessCell.start({ members: 1, targets: 3, groups: 2 })
  try {
    assert.deepEqual(inspectProcess(cell.runningMembers[0]!.pid), [])
  } finally {
    await cell.close()
  }
})
