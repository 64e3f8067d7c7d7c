import assert from 'node:assert/strict'
import { test } from 'node:test'
import { reserveSubnet } from '../../soak/reserve-subnet.ts'

const SUBNET_COUNT = 200

// Guards against the failure that two runs at a time share addresses, because their process ids are a multiple of 200 apart.
test('subnet: guards against the failure that two concurrent runs share the addresses of their members', async () => {
  const index = process.pid
  assert.notEqual(await reserveSubnet(index), await reserveSubnet(index + SUBNET_COUNT))
})
