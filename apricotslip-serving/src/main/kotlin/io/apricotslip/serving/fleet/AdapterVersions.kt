package io.apricotslip.serving.fleet

/** The versions of adapters that were declared, and since when they are needed. */
public class AdapterVersions {
    private class Declared(val version: Long, val at: Long, val before: Long)

    private val declared = HashMap<ServedAdapter, Declared>()

    /** Takes a declared version; returns whether it is newer than what was known. */
    public fun recordDeclared(adapter: ServedAdapter, version: Long, now: Long): Boolean {
        val known = declared[adapter]
        if (known != null && known.version >= version) return false
        declared[adapter] = Declared(version, now, known?.version ?: 0)
        return true
    }

    /** The newest version of [adapter]; 0 when none was declared. */
    public fun newest(adapter: ServedAdapter): Long = declared[adapter]?.version ?: 0

    /** Oldest version of [adapter] that may answer a request that is sent at [now]; null when any may. */
    public fun minVersion(adapter: ServedAdapter, now: Long): Long? {
        val newest = declared[adapter] ?: return null
        if (now - newest.at >= OLD_MILLIS) return newest.version
        return newest.before.takeIf { it > 0 }
    }

    private companion object {
        /**
         * Half of the time that the deployments give: older versions answer until the load of the new one is ordered.
         */
        const val OLD_MILLIS = 2_000L
    }
}
