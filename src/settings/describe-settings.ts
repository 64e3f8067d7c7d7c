import { describeShape } from '../util/json-shape.ts'
import { SETTINGS_TABLE, type Setting } from './settings-table.ts'

/**
 * Returns a help text with one line for each setting.
 *
 * @example
 * settingsHelp().split('\n')[0]
 */
export function settingsHelp (): string {
  return getRows().map(([pointer, setting]) => `${pointer} (${formatAllowed(setting)}; ${formatDefault(setting)}): ${setting.description}`).join('\n')
}

/**
 * Returns the content of the page docs/settings.md.
 *
 * @example
 * writeFileSync('docs/settings.md', settingsPage())
 */
export function settingsPage (): string {
  const lines = getRows().map(([pointer, setting]) => `| \`${pointer}\` | ${formatAllowed(setting)} | ${formatDefault(setting)} | ${setting.description} |`)
  return [
    '# Settings',
    '',
    'This page is generated from `src/settings/settings-table.ts` by `npm run pages`; edit the table, not the page.',
    '',
    'A member reads one JSON file when it starts: `damaskfield serve SETTINGS.json`. `damaskfield check SETTINGS.json` lists every problem in it. Unknown fields and repeated fields are refused. The setting `/member/id` is the field `id` of the object `member`.',
    '',
    '| setting | allowed | default | meaning |',
    '|---|---|---|---|',
    ...lines,
    ''
  ].join('\n')
}

function getRows (): readonly (readonly [string, Setting])[] {
  return Object.entries(SETTINGS_TABLE)
}

function formatAllowed ({ shape, unit }: Setting): string {
  return unit === undefined ? describeShape(shape) : `${describeShape(shape)} ${unit}`
}

function formatDefault (setting: Setting): string {
  if (setting.default !== undefined) return `default ${JSON.stringify(setting.default)}`
  return setting.optional === true ? 'not set' : 'required'
}
