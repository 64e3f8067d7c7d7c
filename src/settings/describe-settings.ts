import { describeShape } from '../util/json-shape.ts'
import { FEATURE_TABLE } from './feature-settings.ts'
import type { Setting } from './setting.ts'
import { SETTINGS_TABLE } from './settings-table.ts'

/**
 * Returns a help text with one line for each setting.
 *
 * @example
 * settingsHelp().split('\n')[0]
 */
export function settingsHelp (): string {
  return Object.entries<Setting>(SETTINGS_TABLE).map(([pointer, setting]) => `${pointer} (${formatAllowed(setting)}; ${formatDefault(setting)}): ${setting.description}`).join('\n')
}

/**
 * Returns the content of the page docs/settings.md.
 *
 * @example
 * writeFileSync('docs/settings.md', settingsPage())
 */
export function settingsPage (): string {
  return [
    '# Settings',
    '',
    'This page is generated from `src/settings/settings-table.ts` by `npm run pages`; edit the table, not the page.',
    '',
    'A member reads one JSON file when it starts: `damaskfield serve SETTINGS.json`. `damaskfield check SETTINGS.json` lists every problem in it. Unknown fields and repeated fields are refused. The setting `/member/id` is the field `id` of the object `member`.',
    '',
    ...formatTable(SETTINGS_TABLE),
    '',
    '## Features on the platform',
    '',
    'From `src/settings/feature-settings.ts`. A member on the operators\' platform reads these from the object `product` of its settings file, which `deploy/settings.json.template` fills in; the platform\'s own fields are in the object `platform` beside it. A file with a problem there is refused with the place of the problem, and a running member keeps the settings that it has. A change takes effect with the next term of a leader; that of a limit in `/ingress` takes effect at once.',
    '',
    ...formatTable(FEATURE_TABLE),
    ''
  ].join('\n')
}

function formatTable (table: Readonly<Record<string, Setting>>): readonly string[] {
  const lines = Object.entries(table).map(([pointer, setting]) => `| \`${pointer}\` | ${formatAllowed(setting)} | ${formatDefault(setting)} | ${setting.description} |`)
  return ['| setting | allowed | default | meaning |', '|---|---|---|---|', ...lines]
}

function formatAllowed ({ shape, unit }: Setting): string {
  return unit === undefined ? describeShape(shape) : `${describeShape(shape)} ${unit}`
}

function formatDefault (setting: Setting): string {
  if (setting.default !== undefined) return `default ${JSON.stringify(setting.default)}`
  return setting.optional === true ? 'not set' : 'required'
}
