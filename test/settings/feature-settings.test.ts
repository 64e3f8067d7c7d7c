import assert from 'node:assert/strict'
import { test } from 'node:test'
import { parseSettings } from '../../platform/settings.ts'
import { createMemberSettings } from '../../platform/standin/member-settings.ts'
import { DEFAULT_FEATURES } from '../../src/settings/index.ts'

const platform = createMemberSettings({ name: 'm1', host: '127.0.0.1', failureDomain: 'east', storeAddress: '127.0.0.1:1', advisorAddress: '127.0.0.1:2', cores: 1 })

const cases: ReadonlyArray<{ readonly guards: string, readonly file: unknown, readonly expected: unknown }> = [
  { guards: 'a feature is on without a setting', file: platform, expected: DEFAULT_FEATURES },
  { guards: 'a feature is on without a setting of its own', file: { platform, product: {} }, expected: DEFAULT_FEATURES },
  { guards: 'a feature that is set stays off', file: { platform, product: { storeDetour: { enabled: true } } }, expected: { ...DEFAULT_FEATURES, storeDetour: { enabled: true } } },
  { guards: 'a misspelled feature is ignored', file: { platform, product: { scheduling: { preemptoin: true } } }, expected: /^\/product\/scheduling\/preemptoin / },
  { guards: 'a feature with a wrong type is ignored', file: { platform, product: { scheduling: { preemption: 'yes' } } }, expected: /^\/product\/scheduling\/preemption must be true or false/ },
  { guards: 'a half-life out of range is accepted', file: { platform, product: { scheduling: { pastUseHalfLifeS: -1 } } }, expected: /^\/product\/scheduling\/pastUseHalfLifeS must be number from 0/ },
  { guards: 'features that are no object are accepted', file: { platform, product: [] }, expected: /^\/product must be / },
  { guards: 'features without the platform part are accepted', file: { product: {} }, expected: /listen\.front/ }
]

for (const { guards, file, expected } of cases) {
  test(`feature settings: guards against the failure that ${guards}`, () => {
    const settings = parseSettings(JSON.stringify(file))
    if (expected instanceof RegExp) assert.match(settings._unsafeUnwrapErr(), expected)
    else assert.deepEqual(settings._unsafeUnwrap().features, expected)
  })
}
