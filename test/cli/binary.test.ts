import assert from 'node:assert/strict'
import { execFile, execFileSync } from 'node:child_process'
import { mkdirSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { COMMANDS } from '../../src/cli/program.ts'

// The bundle is built outside the work tree. With a node_modules folder above it, a missing part would not be noticed.
const folder = mkdtempSync(join(tmpdir(), 'damaskfield-binary-'))
const emptyFolder = join(folder, 'empty')

before(() => {
  mkdirSync(emptyFolder)
  execFileSync(process.execPath, ['scripts/build.mjs', join(folder, 'dist')], { env: { ...process.env, NODE_OPTIONS: '' }, stdio: 'pipe' })
})
after(() => rmSync(folder, { recursive: true }))

async function runBinary (args: readonly string[]) {
  return await new Promise<{ exitCode: number, stdout: string, stderr: string }>((resolve) => {
    execFile(join(folder, 'dist', 'damaskfield'), args, { cwd: emptyFolder, env: { PATH: process.env.PATH } }, (error, stdout, stderr) => {
      resolve({ exitCode: error === null ? 0 : Number(error.code), stdout, stderr })
    })
  })
}

for (const path of COMMANDS.flatMap((command) => command.paths ?? [])) {
  test(`binary: ${path.join(' ')} --help works without node_modules`, async () => {
    const { exitCode, stdout, stderr } = await runBinary([...path, '--help'])
    assert.equal(exitCode, 0, stderr)
    assert.ok(stdout.includes(`damaskfield ${path.join(' ')}`) && stdout.includes('--json'))
  })
}

const cases = [
  { guards: '--version prints the version of package.json', args: ['--version'], exitCode: 0, stdout: new RegExp(`^${JSON.parse(readFileSync('package.json', 'utf8')).version}\n$`) },
  { guards: 'a folder without settings and service files is invalid input', args: ['check', '.'], exitCode: 2, stdout: /^$/ },
  { guards: 'the bundled undici reports an unreachable server', args: ['team', 'list', '--json', '--server', 'http://127.0.0.1:9'], exitCode: 3, stdout: /"unreachable"/ }
]

for (const { guards, args, exitCode, stdout } of cases) {
  test(`binary: ${guards}`, async () => {
    const result = await runBinary(args)
    assert.equal(result.exitCode, exitCode)
    assert.match(result.stdout, stdout)
  })
}
