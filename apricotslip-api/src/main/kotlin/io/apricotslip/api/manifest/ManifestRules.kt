package io.apricotslip.api.manifest

/**
 * Decides whether a manifest is valid. Depends on the manifest alone, never on what a VM held before, so that
 * all VMs judge alike even when they skip revisions.
 */
public object ManifestRules {
    private const val MAX_PORT = 65_535
    private val name = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}")

    /** Every fault of [manifest], in the order of the file; empty when it is valid. */
    public fun faults(manifest: Manifest): List<ManifestFault> = buildList {
        if (manifest.revision.value <= 0) add(ManifestFault("revision", "must be greater than 0"))
        addAll(names("models", manifest.models.map { it.id.value }))
        addAll(names("adapters", manifest.adapters.map { it.id.value }))
        addAll(names("engines", manifest.engines.map { it.id.value }))
        addAll(names("services", manifest.services.map { it.id.value }))
        val models = manifest.models.map { it.id }.toSet()
        manifest.adapters.forEachIndexed { i, a -> addAll(adapterFaults("adapters[$i]", a, models)) }
        manifest.engines.forEachIndexed { i, e -> addAll(engineFaults("engines[$i]", e, models)) }
        manifest.services.forEachIndexed { i, s -> addAll(serviceFaults("services[$i]", s)) }
        addAll(storeFaults(manifest.store))
    }

    private fun names(section: String, ids: List<String>): List<ManifestFault> {
        val seen = mutableSetOf<String>()
        return ids.mapIndexedNotNull { i, id ->
            when {
                !name.matches(id) -> ManifestFault("$section[$i].id", "'$id' is not a valid name")
                !seen.add(id) -> ManifestFault("$section[$i].id", "'$id' is declared twice")
                else -> null
            }
        }
    }

    private fun adapterFaults(path: String, a: AdapterEntry, models: Set<Any>): List<ManifestFault> = buildList {
        if (a.model !in models) add(ManifestFault("$path.model", "model '${a.model}' is not declared"))
        if (a.versions.isEmpty()) add(ManifestFault("$path.versions", "at least one version is needed"))
        addAll(names("$path.versions", a.versions.map { it.value }))
        val default = a.default
        if (default != null && default !in a.versions) {
            add(ManifestFault("$path.default", "version '$default' is not among the versions"))
        }
    }

    private fun engineFaults(path: String, e: EngineEntry, models: Set<Any>): List<ManifestFault> = buildList {
        if (e.model !in models) add(ManifestFault("$path.model", "model '${e.model}' is not declared"))
        addAll(addressFaults(path, e.address, e.port))
        if (e.slots < 1) add(ManifestFault("$path.slots", "must be at least 1"))
        if (e.batch < 1) add(ManifestFault("$path.batch", "must be at least 1"))
    }

    private fun serviceFaults(path: String, s: ServiceEntry): List<ManifestFault> = buildList {
        if (s.replicas.isEmpty()) add(ManifestFault("$path.replicas", "at least one replica is needed"))
        addAll(names("$path.replicas", s.replicas.map { it.id.value }))
        s.replicas.forEachIndexed { i, r -> addAll(addressFaults("$path.replicas[$i]", r.address, r.port)) }
    }

    private fun addressFaults(path: String, address: String, port: Int): List<ManifestFault> = buildList {
        if (!IpNumber.isValid(address)) add(ManifestFault("$path.address", "'$address' is not an IP number"))
        if (port !in 1..MAX_PORT) add(ManifestFault("$path.port", "must be between 1 and $MAX_PORT"))
    }

    private fun storeFaults(s: StoreEntry): List<ManifestFault> = buildList {
        if (!(s.loadsPerSecond > 0)) add(ManifestFault("store.loadsPerSecond", "must be greater than 0"))
        if (s.fullSpeedInFlight < 1) add(ManifestFault("store.fullSpeedInFlight", "must be at least 1"))
        if (s.maxInFlight < s.fullSpeedInFlight) {
            add(ManifestFault("store.maxInFlight", "must be at least store.fullSpeedInFlight"))
        }
    }
}
