import { createHash } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { createSecureContext } from 'node:tls'
import type { experimental } from '@grpc/grpc-js'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { IncrementCounter } from './count.ts'
import { IGNORE_COUNT } from './count.ts'

/** Paths of the PEM files for mutual TLS between members. */
export type TlsFileNames = {
  /** Certificate chain of this member. */
  readonly certificateFile: string
  readonly keyFile: string
  /** Certificates of the trusted issuers. */
  readonly caFile: string
  /** Server name that the certificate of every member contains. */
  readonly serverName: string
}

/** Options for loading TLS files. */
export type TlsOptions = {
  /** Time between checks of the files for changes. Default 5,000. */
  readonly checkIntervalMs?: number
  readonly count?: IncrementCounter
}

/** Why the files could not be loaded: a file cannot be read, or the contents do not form a valid certificate and key. */
export type TlsFailure = { readonly reason: 'unreadable' | 'unusable', readonly detail: string }

type TlsMaterial = { readonly certificate: Buffer, readonly privateKey: Buffer, readonly ca: Buffer, readonly digest: string }

const DEFAULT_CHECK_INTERVAL_MS = 5_000

/**
 * The certificate, key and trusted issuers of this member. The files are read again every five seconds by default.
 *
 * If the contents are invalid, for example because a new certificate is written but its key is not, the previous contents
 * stay in use. The file watcher of the gRPC library would close all connections or throw in this case.
 *
 * @example
 * const files = await TlsFiles.load(names)
 */
export class TlsFiles implements experimental.CertificateProvider {
  private readonly caListeners = new Set<experimental.CaCertificateUpdateListener>()
  private readonly identityListeners = new Set<experimental.IdentityCertificateUpdateListener>()
  private readonly changeListeners = new Set<() => void>()
  private readonly timer: NodeJS.Timeout

  private constructor (
    private readonly names: TlsFileNames,
    private material: TlsMaterial,
    private readonly count: IncrementCounter,
    checkIntervalMs: number
  ) {
    this.timer = setInterval(() => { this.reloadIfChanged().catch(() => {}) }, checkIntervalMs)
    this.timer.unref()
  }

  static async load (names: TlsFileNames, options: TlsOptions = {}): Promise<Result<TlsFiles, TlsFailure>> {
    const result = await readMaterial(names)
    const checkIntervalMs = options.checkIntervalMs ?? DEFAULT_CHECK_INTERVAL_MS
    return result.map((material) => new TlsFiles(names, material, options.count ?? IGNORE_COUNT, checkIntervalMs))
  }

  get serverName (): string {
    return this.names.serverName
  }

  /** Calls the listener after each change of the contents. */
  onChange (listener: () => void): void {
    this.changeListeners.add(listener)
  }

  removeChangeListener (listener: () => void): void {
    this.changeListeners.delete(listener)
  }

  close (): void {
    clearInterval(this.timer)
  }

  /** The library registers the listener before it can handle an update, so the first update is sent in the next tick. */
  addCaCertificateListener (listener: experimental.CaCertificateUpdateListener): void {
    this.caListeners.add(listener)
    process.nextTick(() => listener({ caCertificate: this.material.ca }))
  }

  removeCaCertificateListener (listener: experimental.CaCertificateUpdateListener): void {
    this.caListeners.delete(listener)
  }

  addIdentityCertificateListener (listener: experimental.IdentityCertificateUpdateListener): void {
    this.identityListeners.add(listener)
    process.nextTick(() => listener(this.material))
  }

  removeIdentityCertificateListener (listener: experimental.IdentityCertificateUpdateListener): void {
    this.identityListeners.delete(listener)
  }

  private async reloadIfChanged (): Promise<void> {
    const result = await readMaterial(this.names)
    if (result.isErr()) return this.count('tls-files', result.error.reason)
    if (result.value.digest === this.material.digest) return
    this.material = result.value
    this.count('tls-files', 'reloaded')
    for (const listener of this.caListeners) listener({ caCertificate: this.material.ca })
    for (const listener of this.identityListeners) listener(this.material)
    for (const listener of this.changeListeners) listener()
  }
}

async function readMaterial (names: TlsFileNames): Promise<Result<TlsMaterial, TlsFailure>> {
  try {
    const files = [names.certificateFile, names.keyFile, names.caFile]
    const [certificate, privateKey, ca] = await Promise.all(files.map((file) => readFile(file))) as [Buffer, Buffer, Buffer]
    return validateMaterial({ certificate, privateKey, ca, digest: computeDigest([certificate, privateKey, ca]) })
  } catch (error) {
    return err({ reason: 'unreadable', detail: (error as Error).message })
  }
}

function validateMaterial (material: TlsMaterial): Result<TlsMaterial, TlsFailure> {
  try {
    createSecureContext({ cert: material.certificate, key: material.privateKey, ca: material.ca })
    return ok(material)
  } catch (error) {
    return err({ reason: 'unusable', detail: (error as Error).message })
  }
}

function computeDigest (contents: readonly Buffer[]): string {
  return contents.map((content) => createHash('sha256').update(content).digest('hex')).join(' ')
}
