package io.apricotslip.gateway.peer

import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server

/** Names of adapters in reports: without the model where the server has only one, as most of the bytes are names. */
internal object AdapterNames {
    fun encode(server: Server, adapter: ServedAdapter): String {
        val model = server.entry.models.singleOrNull()
        return if (adapter.adapter != null && adapter.model == model) "/${adapter.adapter}" else adapter.toString()
    }

    /** Returns null when the name leaves the model out but the server is not known to have exactly one. */
    fun decode(server: Server, name: String): ServedAdapter? {
        if (!name.startsWith('/')) return ServedAdapter.parse(name)
        val model = server.entry.models.singleOrNull() ?: return null
        return ServedAdapter.parse("$model$name")
    }
}
