/** Settings of a name, and the version of the configuration that they are from. */
export type VersionedSettings<Settings> = { readonly version: number, readonly settings: Settings }

/**
 * Settings by name: those of the present configuration, and the last known ones of names that it no longer has, for the jobs
 * that still refer to them.
 */
export class KnownSettings<Settings extends { readonly name: string }> {
  /** Undefined until a configuration is known. */
  private present: ReadonlyMap<string, Settings> | undefined
  private readonly last = new Map<string, VersionedSettings<Settings>>()
  /** By name, the version of the settings that are stored for a new owner. */
  private readonly stored = new Map<string, number>()

  private constructor () {}

  /**
   * Creates an empty collection.
   *
   * @example
   * const queues = KnownSettings.create<QueueSettings>()
   * queues.configure(2, configuration.queues.map(selectQueueSettings), namesOfActiveJobs)
   * queues.find('stock')
   */
  static create<Settings extends { readonly name: string }> (): KnownSettings<Settings> {
    return new KnownSettings<Settings>()
  }

  /**
   * Takes over a version of the configuration. Names that the previous version did not have either are forgotten unless they
   * are used.
   */
  configure (version: number, configured: readonly Settings[], used: ReadonlySet<string>): void {
    const previous = this.present
    this.present = new Map(configured.map((settings) => [settings.name, settings]))
    for (const settings of configured) this.learn({ version, settings })
    for (const name of [...this.last.keys()]) {
      if (this.present.has(name) || previous?.has(name) === true || used.has(name)) continue
      this.last.delete(name)
      this.stored.delete(name)
    }
  }

  /** Learns settings from a stored record; those of the latest version are kept. */
  learn (known: VersionedSettings<Settings>): void {
    const { name } = known.settings
    if ((this.last.get(name)?.version ?? -Infinity) <= known.version) this.last.set(name, known)
  }

  /** Records that these settings are stored for a new owner. */
  markStored ({ version, settings }: VersionedSettings<Settings>): void {
    this.stored.set(settings.name, version)
  }

  /**
   * Finds the settings of a name; undefined if it is unknown. Without a configuration nothing is found, because the last known
   * settings may have changed.
   */
  find (name: string): Settings | undefined {
    return this.present === undefined ? undefined : this.present.get(name) ?? this.last.get(name)?.settings
  }

  /** Whether the name was removed and a new owner would not know its last settings. */
  mustBeStored (name: string): boolean {
    const removed = this.findRemoved(name)
    return removed !== undefined && this.stored.get(name) !== removed.version
  }

  /** Lists the last settings of those of the names that the configuration no longer has. */
  listRemoved (names: Iterable<string>): ReadonlyArray<VersionedSettings<Settings>> {
    return [...names].flatMap((name) => this.findRemoved(name) ?? [])
  }

  private findRemoved (name: string): VersionedSettings<Settings> | undefined {
    return this.present === undefined || this.present.has(name) ? undefined : this.last.get(name)
  }
}
