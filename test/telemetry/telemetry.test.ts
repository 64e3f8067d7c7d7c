import assert from 'node:assert/strict'
import { PassThrough } from 'node:stream'
import { test } from 'node:test'
import { Counters, Histograms, Telemetry } from '../../src/telemetry/index.ts'
import { createTeamKey } from '../../src/util/team-key.ts'

function createTelemetry () {
  const stream = new PassThrough()
  return { telemetry: Telemetry.create({ member: 'entry-1', level: 'info', stream }), readLog: () => String(stream.read() ?? '') }
}

test('formatMetrics: the text format stays valid when labels contain quotes and line feeds', () => {
  const { telemetry } = createTelemetry()
  telemetry.report({ type: 'count', counter: 'start-retried', reason: 'a"b\\c\nd' })
  telemetry.report({ type: 'count', counter: 'start-retried', reason: 'a"b\\c\nd' })
  telemetry.gauges.set('waiting', { group: 3, kind: 'batch' }, 12)
  telemetry.gauges.set('waiting', { group: 4 }, NaN)
  telemetry.histograms.record('decision', 2, 0)
  assert.equal(telemetry.formatMetrics(0), [
    '# TYPE damaskfield_start_retried_total counter',
    'damaskfield_start_retried_total{reason="a\\"b\\\\c\\nd"} 2',
    '# TYPE damaskfield_waiting gauge',
    'damaskfield_waiting{group="3",kind="batch"} 12',
    '# TYPE damaskfield_decision_seconds summary',
    ...[0.5, 0.9, 0.99, 0.999].map((quantile) => `damaskfield_decision_seconds{quantile="${quantile}"} 0.002007`),
    'damaskfield_decision_seconds_sum 0.002',
    'damaskfield_decision_seconds_count 1',
    ''
  ].join('\n'))
})

test('Counters: reasons with free text cannot fill the memory', () => {
  const counters = Counters.create()
  for (let index = 0; index < 3000; index += 1) counters.count({ counter: 'refused', reason: `r${index}` })
  assert.equal(counters.formatLines().length, 2000 + 3)
  assert.equal(counters.getValue('counter-overflow', 'too-many-series'), 1000)
})

test('Histograms: quantiles cover only recent values, and the count never decreases', () => {
  const histograms = Histograms.create()
  for (let index = 0; index < 99; index += 1) histograms.record('decision', 1, 0)
  histograms.record('decision', 5000, 0)
  assert.ok(Math.abs(histograms.getQuantileMs('decision', 0.5, 0) - 1) < 0.02)
  assert.ok(Math.abs(histograms.getQuantileMs('decision', 0.999, 0) - 5000) < 50)
  histograms.record('decision', 3, 61_000)
  assert.ok(histograms.getQuantileMs('decision', 0.999, 61_000) > 4000)
  assert.ok(histograms.getQuantileMs('decision', 0.999, 130_000) < 4)
  assert.equal(histograms.getQuantileMs('decision', 0.999, 500_000), 0)
  assert.ok(histograms.formatLines(500_000).includes('damaskfield_decision_seconds_count 101'))
})

test('Histograms: a duration out of range is recorded as the nearest bound and does not throw', () => {
  const histograms = Histograms.create()
  for (const duration of [-1, 1e12, NaN, Infinity]) histograms.record('decision', duration, 0)
  assert.ok(histograms.formatLines(0).includes('damaskfield_decision_seconds_count 2'))
})

test('Logger: a team key in a field or message does not reach the log, and fields cannot overwrite the level', () => {
  const { telemetry, readLog } = createTelemetry()
  const { text, key } = createTeamKey('stock')
  telemetry.report({ type: 'log', level: 'warn', message: `refused ${text} %s`, fields: { header: `Bearer ${text}`, level: 99, group: 3 } })
  const line = JSON.parse(readLog())
  assert.deepEqual([line.level, line.member, line.fields.group], [40, 'entry-1', 3])
  assert.equal(line.msg, `refused dk_${key.id}_[secret] %s`)
  assert.equal(line.fields.header, `Bearer dk_${key.id}_[secret]`)
})
