package io.apricotslip.serving.fleet

import io.apricotslip.serving.published.AuthorCount
import io.apricotslip.serving.published.Recency
import io.apricotslip.serving.published.Statement
import io.apricotslip.serving.published.StorePosition

/** The declared versions of adapters, and which of them a request needs at a given time. */
public class AdapterVersions {
    private class Declared(val statement: Statement, val version: Long, val declaredAt: Long, val previousVersion: Long)

    private val declared = HashMap<ServedAdapter, Declared>()

    /**
     * Records that [version] was declared, as the store holds it at [position]; returns whether it is newer than the
     * known version.
     */
    public fun recordDeclared(adapter: ServedAdapter, version: Long, position: StorePosition, now: Long): Boolean {
        val known = declared[adapter]
        val statement = Statement(position, AuthorCount.Version(version))
        if (known != null && statement.recency(known.statement) != Recency.NEWER) return false
        declared[adapter] = Declared(statement, version, now, known?.version ?: 0)
        return true
    }

    /** The newest declared version of [adapter]; 0 when none was declared. */
    public fun newest(adapter: ServedAdapter): Long = declared[adapter]?.version ?: 0

    /** The oldest version of [adapter] that may answer a request sent at [now]; null when any version may. */
    public fun minVersion(adapter: ServedAdapter, now: Long): Long? {
        val newest = declared[adapter] ?: return null
        if (now - newest.declaredAt >= OLD_VERSION_GRACE_MILLIS) return newest.version
        return newest.previousVersion.takeIf { it > 0 }
    }

    private companion object {
        /**
         * Half of the time that the deployments allow for a new version: older versions answer until the load of the
         * new one is ordered.
         */
        const val OLD_VERSION_GRACE_MILLIS = 2_000L
    }
}
