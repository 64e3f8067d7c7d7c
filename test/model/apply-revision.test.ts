import assert from 'node:assert/strict'
import { test } from 'node:test'
import { applyRevision, EMPTY_CONFIGURATION } from '../../src/model/apply-revision.ts'
import type { Change, ConfigurationRevision } from '../../src/model/configuration.ts'

const domainOut: Change = { kind: 'failureDomain', name: 'bole', value: { name: 'bole', state: 'out' } }

function createRevision (number: number, changes: readonly Change[]): ConfigurationRevision {
  return { revision: number, author: 'operator', at: 0, nonce: `n${number}`, changes }
}

const cases = [
  { guards: 'a missed revision is not skipped', revisions: [createRevision(2, [domainOut])], expected: 0, state: undefined },
  { guards: 'the next revision is applied', revisions: [createRevision(1, [domainOut])], expected: 1, state: 'out' },
  { guards: 'a repeated revision does not revert a later one', revisions: [createRevision(1, [domainOut]), createRevision(2, [{ kind: 'failureDomain', name: 'bole', value: null }]), createRevision(1, [domainOut])], expected: 2, state: undefined }
] as const

for (const entry of cases) {
  test(`applyRevision: ${entry.guards}`, () => {
    const configuration = entry.revisions.reduce(applyRevision, EMPTY_CONFIGURATION)
    assert.equal(configuration.revision, entry.expected)
    assert.equal(configuration.failureDomains.get('bole')?.state, entry.state)
  })
}
