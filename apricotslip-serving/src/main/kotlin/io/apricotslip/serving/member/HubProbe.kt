package io.apricotslip.serving.member

import io.apricotslip.api.id.VmId

/** Chooses the seed or lost hub to which a hub reports now and then, so that a fleet that has split heals. */
internal class HubProbe(private val seeds: Set<VmId>, private val directory: HubDirectory) {
    private var lastSentAt = Long.MIN_VALUE / 2
    private var sentCount = 0

    /** The node to probe within [leadMillis] while [hubs] are the other hubs; null when none is due. */
    fun next(hubs: Set<VmId>, now: Long, leadMillis: Long = 0): VmId? {
        val remembered = directory.rememberedHubs(now)
        if (now - lastSentAt < intervalMillis(hubs, remembered - hubs) - leadMillis) return null
        val others = (seeds + remembered).filter { it !in hubs }
        return if (others.isEmpty()) null else others[sentCount % others.size]
    }

    /** Records that the node that [next] returned was probed. */
    fun recordSent(now: Long) {
        lastSentAt = now
        sentCount++
    }

    /** Time between two probes: short when more hubs are lost than left, as after a split. */
    private fun intervalMillis(hubs: Set<VmId>, lost: Set<VmId>): Long =
        if (lost.size > hubs.size) SPLIT_INTERVAL_MILLIS else INTERVAL_MILLIS * maxOf(1, hubs.size / PROBING_HUBS)

    private companion object {
        /** Short compared with the time that an operator would need to notice a split. */
        const val INTERVAL_MILLIS = 3_000L
        const val SPLIT_INTERVAL_MILLIS = 600L

        /** Hubs that probe in [INTERVAL_MILLIS]; with more hubs each of them probes less often. */
        const val PROBING_HUBS = 6
    }
}
