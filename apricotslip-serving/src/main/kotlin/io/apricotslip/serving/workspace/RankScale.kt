package io.apricotslip.serving.workspace

/**
 * Ranks requests by the priorities of their workspaces and routes, and maps the ranks onto the few priorities of an
 * engine's queue.
 *
 * Workload: several workspaces, a few of them large, whose requests on routes of all priorities wait at the same
 * engines. A request of a workspace that ranks higher must not wait behind one of a workspace that ranks lower, whatever
 * their routes.
 *
 * All nodes that have read the same desired state have the same scale.
 *
 * @param workspacePriorities priorities of all workspaces, null for one that has none.
 * @param routePriorities priorities of all routes to engines.
 */
public class RankScale(workspacePriorities: Collection<Int?>, routePriorities: Collection<Int>) {
    private val workspaceRanks = workspacePriorities.filterNotNull().toSortedSet().toList()
    private val routeRanks = routePriorities.toSortedSet().toList()

    /** The engine priorities of each workspace rank, the most urgent first. */
    private val levels: List<IntRange> = levels(workspaceRanks.size, routeRanks.size)

    /**
     * The rank of a request. One whose workspace has no priority, or that has no workspace, ranks with the lowest
     * priority that is given.
     */
    public fun rank(workspacePriority: Int?, routePriority: Int): RequestRank =
        RequestRank(workspacePriority ?: workspaceRanks.lastOrNull() ?: 0, routePriority)

    /**
     * The priority in an engine's queue for a request of [rank], from 0 (first) to 9 (last).
     *
     * Where all workspaces rank the same, it is the priority of the route. Otherwise each workspace rank has engine
     * priorities of its own, as long as there are enough of them, and the route decides among those.
     */
    public fun enginePriority(rank: RequestRank): Int {
        if (workspaceRanks.size <= 1) return rank.route.coerceAtMost(LOWEST)
        val workspaceIndex = index(workspaceRanks, rank.workspace)
        val routeIndex = index(routeRanks, rank.route)
        val own = levels[workspaceIndex]
        val count = own.last - own.first + 1
        return own.first + if (count >= routeRanks.size) routeIndex else routeIndex * count / routeRanks.size
    }

    /** The position of [priority] in [sorted]; of the next lower one when it is not there. */
    private fun index(sorted: List<Int>, priority: Int): Int =
        sorted.indexOfFirst { it >= priority }.let { if (it < 0) sorted.lastIndex else it }.coerceAtLeast(0)

    private companion object {
        /** The last of the priorities of an engine's queue. */
        const val LOWEST = 9
        const val COUNT = LOWEST + 1

        /** The engine priorities of each of [workspaces] ranks when routes have [routes] different priorities. */
        fun levels(workspaces: Int, routes: Int): List<IntRange> = when {
            workspaces == 0 -> emptyList()
            workspaces > COUNT -> List(workspaces) { (it * COUNT / workspaces).let { only -> only..only } }
            else -> List(workspaces) { start(it, workspaces, routes) until start(it + 1, workspaces, routes) }
        }

        /** The first engine priority of the workspace rank at [index]; the more urgent ones get what cannot be split. */
        private fun start(index: Int, workspaces: Int, routes: Int): Int {
            val each = (COUNT / workspaces).coerceAtMost(routes.coerceAtLeast(1))
            val rest = if (each == routes) 0 else COUNT % workspaces
            return index * each + index.coerceAtMost(rest)
        }
    }
}
