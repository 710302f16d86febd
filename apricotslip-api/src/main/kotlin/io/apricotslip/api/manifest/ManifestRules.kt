package io.apricotslip.api.manifest

import io.apricotslip.api.id.ModelId
import io.apricotslip.api.json.RuleFault

/**
 * Validates manifests. The result depends on the manifest alone and never on an earlier one, so that all VMs decide
 * alike even when they skip revisions.
 */
public object ManifestRules {
    private const val MAX_PORT = 65_535
    private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}")

    /** All faults of [manifest], section by section; empty when it is valid. */
    public fun faults(manifest: Manifest): List<ManifestFault> =
        violations(manifest).map { ManifestFault(it.path, it.reason) }

    /** All violated rules of [manifest], section by section; empty when it is valid. */
    public fun violations(manifest: Manifest): List<RuleFault> = buildList {
        if (manifest.revision.value <= 0) add(RuleFault("revision", "must be greater than 0"))
        addAll(nameFaults("models", manifest.models.map { it.id.value }))
        addAll(nameFaults("adapters", manifest.adapters.map { it.id.value }))
        addAll(nameFaults("engines", manifest.engines.map { it.id.value }))
        addAll(nameFaults("services", manifest.services.map { it.id.value }))
        val models = manifest.models.map { it.id }.toSet()
        manifest.adapters.forEachIndexed { i, a -> addAll(adapterFaults("adapters[$i]", a, models)) }
        manifest.engines.forEachIndexed { i, e -> addAll(engineFaults("engines[$i]", e, models)) }
        manifest.services.forEachIndexed { i, s -> addAll(serviceFaults("services[$i]", s)) }
        addAll(sharedAddressFaults(manifest))
        addAll(storeFaults(manifest.store))
    }

    private fun undeclaredModel(path: String, model: ModelId) =
        RuleFault("$path.model", "model '$model' is not declared", listOf("models"))

    private fun nameFaults(section: String, ids: List<String>): List<RuleFault> {
        val seen = mutableSetOf<String>()
        return ids.mapIndexedNotNull { i, id ->
            when {
                !namePattern.matches(id) -> RuleFault("$section[$i].id", "'$id' is not a valid name")
                !seen.add(id) -> RuleFault("$section[$i].id", "'$id' is declared twice")
                else -> null
            }
        }
    }

    private fun adapterFaults(path: String, a: AdapterEntry, models: Set<Any>): List<RuleFault> = buildList {
        if (a.model !in models) add(undeclaredModel(path, a.model))
        if (a.versions.isEmpty()) add(RuleFault("$path.versions", "at least one version is needed"))
        addAll(nameFaults("$path.versions", a.versions.map { it.value }))
        val default = a.default
        if (default != null && default !in a.versions) {
            add(RuleFault("$path.default", "version '$default' is not among the versions", listOf("$path.versions")))
        }
    }

    private fun engineFaults(path: String, e: EngineEntry, models: Set<Any>): List<RuleFault> = buildList {
        if (e.model !in models) add(undeclaredModel(path, e.model))
        addAll(addressFaults(path, e.address, e.port))
        if (e.slots < 1) add(RuleFault("$path.slots", "must be at least 1"))
        if (e.batch < 1) add(RuleFault("$path.batch", "must be at least 1"))
    }

    private fun serviceFaults(path: String, s: ServiceEntry): List<RuleFault> = buildList {
        if (s.replicas.isEmpty()) add(RuleFault("$path.replicas", "at least one replica is needed"))
        addAll(nameFaults("$path.replicas", s.replicas.map { it.id.value }))
        s.replicas.forEachIndexed { i, r -> addAll(addressFaults("$path.replicas[$i]", r.address, r.port)) }
    }

    private fun addressFaults(path: String, address: String, port: Int): List<RuleFault> = buildList {
        if (!IpAddress.isValid(address)) add(RuleFault("$path.address", "'$address' is not an IP number"))
        if (port !in 1..MAX_PORT) add(RuleFault("$path.port", "must be between 1 and $MAX_PORT"))
    }

    private fun sharedAddressFaults(manifest: Manifest): List<RuleFault> {
        val engines = manifest.engines.mapIndexed { i, e -> SocketAddress("engines[$i]", e.address, e.port) }
        val replicas =
            manifest.services.flatMapIndexed { i, s ->
                s.replicas.mapIndexed { j, r -> SocketAddress("services[$i].replicas[$j]", r.address, r.port) }
            }
        val firstUses = mutableMapOf<String, SocketAddress>()
        return (engines + replicas).mapNotNull { socket ->
            val other = firstUses.putIfAbsent("${socket.address}:${socket.port}", socket)
            if (other == null) null else socket.conflictWith(other)
        }
    }

    private fun storeFaults(s: StoreEntry): List<RuleFault> = buildList {
        if (!(s.loadsPerSecond > 0)) add(RuleFault("store.loadsPerSecond", "must be greater than 0"))
        if (s.fullSpeedInFlight < 1) add(RuleFault("store.fullSpeedInFlight", "must be at least 1"))
        if (s.maxInFlight < s.fullSpeedInFlight) {
            add(
                RuleFault(
                    "store.maxInFlight",
                    "must be at least store.fullSpeedInFlight",
                    listOf("store.fullSpeedInFlight"),
                ),
            )
        }
    }

    private class SocketAddress(val path: String, val address: String, val port: Int) {
        fun conflictWith(other: SocketAddress) = RuleFault(
            "$path.port",
            "$address:$port is the address of ${other.path} too",
            listOf("$path.address", "${other.path}.address", "${other.path}.port"),
        )
    }
}
