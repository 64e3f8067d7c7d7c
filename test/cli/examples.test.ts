import assert from 'node:assert/strict'
import { test } from 'node:test'
import { readPaths } from '../../src/cli/read-paths.ts'
import { computeChanges, checkChanges, collectServiceFiles } from '../../src/servicefiles/index.ts'
import { EMPTY_CONFIGURATION } from '../../src/model/apply-revision.ts'
import { checkSettings, checkCellSettings } from '../../src/settings/index.ts'

const cases = [{ example: 'tsagaan-zuu', profile: 'packing' }, { example: 'abay-sump', profile: 'prompt' }]

for (const { example, profile } of cases) {
  const found = readPaths([`examples/${example}`])

  test(`examples/${example}: seven members of one cell, six organisations and three failure domains are valid`, () => {
    const members = found.settings.map(({ file, text }) => ({ file, settings: checkSettings(text, file)._unsafeUnwrap() }))
    assert.equal(members.length, 7)
    assert.deepEqual(checkCellSettings(members), [])
    const content = collectServiceFiles(found.services)._unsafeUnwrap()
    assert.deepEqual([content.organisations.length, content.failureDomains.length, content.profile], [6, 3, profile])
    assert.deepEqual(new Set(members.map(({ settings }) => settings.member.failureDomain)), new Set(content.failureDomains.map(({ name }) => name)))
    assert.ok(checkChanges(computeChanges(content, EMPTY_CONFIGURATION), EMPTY_CONFIGURATION).isOk())
  })

  test(`examples/${example}: a missing file is reported`, () => {
    const withoutCell = found.services.filter(({ file }) => !file.endsWith('cell.damaskfield.json'))
    assert.ok(collectServiceFiles(withoutCell)._unsafeUnwrapErr().every(({ code }) => code === 'unknown-reference'))
  })

  test(`examples/${example}: a member with another number of groups or a repeated id is reported`, () => {
    const [first, second] = found.settings.map(({ file, text }) => ({ file, settings: checkSettings(text, file)._unsafeUnwrap() }))
    const different = { file: second!.file, settings: { ...second!.settings, groups: 2, member: first!.settings.member } }
    assert.deepEqual(checkCellSettings([first!, different]).map(({ code, pointer }) => [code, pointer]), [['duplicate-name', '/member/id'], ['inconsistent', '/groups']])
  })
}
