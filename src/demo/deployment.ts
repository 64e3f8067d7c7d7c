import abayCell from '../../examples/abay-sump/cell.damaskfield.json' with { type: 'json' }
import abayCooperative from '../../examples/abay-sump/abay-cooperative.damaskfield.json' with { type: 'json' }
import boleTowers from '../../examples/abay-sump/bole-towers.damaskfield.json' with { type: 'json' }
import entotoClinics from '../../examples/abay-sump/entoto-clinics.damaskfield.json' with { type: 'json' }
import kalityWorks from '../../examples/abay-sump/kality-works.damaskfield.json' with { type: 'json' }
import merkatoParking from '../../examples/abay-sump/merkato-parking.damaskfield.json' with { type: 'json' }
import piassaMarket from '../../examples/abay-sump/piassa-market.damaskfield.json' with { type: 'json' }
import altanZuu from '../../examples/tsagaan-zuu/altan-zuu.damaskfield.json' with { type: 'json' }
import zuuCell from '../../examples/tsagaan-zuu/cell.damaskfield.json' with { type: 'json' }
import esgiiHouse from '../../examples/tsagaan-zuu/esgii-house.damaskfield.json' with { type: 'json' }
import khokhUtas from '../../examples/tsagaan-zuu/khokh-utas.damaskfield.json' with { type: 'json' }
import orkhonSchools from '../../examples/tsagaan-zuu/orkhon-schools.damaskfield.json' with { type: 'json' }
import selengeShops from '../../examples/tsagaan-zuu/selenge-shops.damaskfield.json' with { type: 'json' }
import torgoHouse from '../../examples/tsagaan-zuu/torgo-house.damaskfield.json' with { type: 'json' }
import type { Resources } from '../model/resources.ts'
import { collectServiceFiles, type ServiceFile } from '../servicefiles/index.ts'

/** One of the example deployments, at its current size. */
export type Deployment = {
  readonly name: string
  readonly failureDomains: readonly string[]
  readonly targets: number
  readonly capacity: Resources
  readonly content: ServiceFile
}

const TARGET_COUNT = 30

/** The two deployments of `examples/`. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'Tsagaan Zuu',
    failureDomains: ['ulaanbaatar', 'darkhan', 'erdenet'],
    targets: TARGET_COUNT,
    capacity: { cpuMillis: 16_000, memoryMiB: 65_536, accelerators: 0, slots: 8, connections: 60 },
    content: mergeServiceFiles({ zuuCell, altanZuu, khokhUtas, esgiiHouse, torgoHouse, selengeShops, orkhonSchools })
  },
  {
    name: 'Abay Sump',
    failureDomains: ['bole', 'kality', 'piassa'],
    targets: TARGET_COUNT,
    capacity: { cpuMillis: 32_000, memoryMiB: 65_536, accelerators: 0, slots: 8, connections: 60 },
    content: mergeServiceFiles({ abayCell, abayCooperative, boleTowers, entotoClinics, kalityWorks, merkatoParking, piassaMarket })
  }
]

function mergeServiceFiles (files: Readonly<Record<string, unknown>>): ServiceFile {
  const texts = Object.entries(files).map(([file, content]) => ({ file, text: JSON.stringify(content) }))
  const collected = collectServiceFiles(texts)
  if (collected.isErr()) throw new Error(`the examples are not valid: ${JSON.stringify(collected.error)}`)
  return collected.value
}
