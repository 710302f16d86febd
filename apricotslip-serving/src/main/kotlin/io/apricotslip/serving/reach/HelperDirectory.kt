package io.apricotslip.serving.reach

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.peer.FleetMessage.Helper
import kotlin.random.Random

/** The nodes that reach backend servers and take requests of a node that does not. */
public class HelperDirectory(
    private val self: VmId,
    private val zone: ZoneId,
    private val random: Random = Random.Default,
) {
    /** @property sampledIn the sample that named it last. */
    private class Heard(val helper: Helper, val at: Long, var sampledIn: Int)

    private val helpers = LinkedHashMap<VmId, Heard>()
    private var samples = 0

    /** Records that [known] were reaching servers at their ages before [now]. */
    public fun record(known: Collection<Helper>, now: Long) {
        for (helper in known) {
            val at = now - helper.ageMillis.coerceAtLeast(0)
            val before = helpers[helper.vm]
            if (helper.vm == self || (before != null && before.at > at)) continue
            helpers[helper.vm] = Heard(helper, at, sampledIn = before?.sampledIn ?: 0)
        }
        helpers.values.removeIf { now - it.at > TTL_MILLIS }
        while (helpers.size > MAX_HELPERS) helpers.remove(helpers.keys.first())
    }

    /** Forgets [vm], which did not answer, until it is heard of again. */
    public fun remove(vm: VmId) {
        helpers.remove(vm)
    }

    /** Whether there is a node that could help at [now]. */
    public fun isAvailable(now: Long): Boolean = helpers.values.any { now - it.at <= TTL_MILLIS }

    /** Whether [vm] was heard of within [millis] before [now]. */
    public fun isHeard(vm: VmId, millis: Long, now: Long): Boolean = helpers[vm]?.let { now - it.at <= millis } ?: false

    /**
     * A node for one request, outside [excluded]: of this zone when it has at least as many helpers as the others have
     * on average, so that a zone in which most nodes are cut off does not load the rest of it.
     */
    public fun select(excluded: Set<VmId>, now: Long): Helper? {
        val all = helpers.values.filter { now - it.at <= TTL_MILLIS && it.helper.vm !in excluded }.map { it.helper }
        val near = all.filter { it.zone == zone }
        val zones = all.mapTo(HashSet()) { it.zone }.size
        return (if (near.size * zones >= all.size) near else all).randomOrNull(random)
    }

    /** At most [count] nodes, in turn, to tell other nodes of. */
    public fun sample(count: Int, now: Long): List<Helper> {
        val usable = helpers.values.filter { now - it.at <= TTL_MILLIS }
        val chosen = usable.shuffled(random).sortedBy { it.sampledIn }.take(count)
        samples++
        chosen.forEach { it.sampledIn = samples }
        return chosen.map { it.helper.copy(ageMillis = now - it.at) }
    }

    private companion object {
        /** Reports pass at most two nodes on their way, a few hundred milliseconds each. */
        const val TTL_MILLIS = 1_500L

        /** Enough to spread the requests of a zone, and few enough to keep. */
        const val MAX_HELPERS = 256
    }
}
