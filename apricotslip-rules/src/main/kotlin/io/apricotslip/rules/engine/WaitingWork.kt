package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.work.WorkClass
import java.util.TreeSet

/** Queued requests of one adapter, one queue per work class, each in order of arrival. */
internal class AdapterQueue {
    private val classes = List(WorkClass.entries.size) { ArrayDeque<WorkItem>() }

    val size: Int get() = classes.sumOf { it.size }

    fun add(work: WorkItem) {
        val queue = classes[work.workClass.ordinal]
        val index = queue.indexOfLast { it.arrivedAt <= work.arrivedAt } + 1
        queue.add(index, work)
    }

    fun remove(work: WorkItem): Boolean = classes[work.workClass.ordinal].remove(work)

    fun head(workClass: WorkClass): WorkItem? = classes[workClass.ordinal].firstOrNull()

    fun last(workClass: WorkClass): WorkItem? = classes[workClass.ordinal].lastOrNull()

    fun count(workClass: WorkClass): Int = classes[workClass.ordinal].size

    fun forEach(action: (WorkItem) -> Unit) = classes.forEach { it.forEach(action) }
}

/** All queued requests of one engine. */
internal class WaitingWork {
    private val byId = LinkedHashMap<RequestId, WorkItem>()
    private val queues = LinkedHashMap<AdapterVersion, AdapterQueue>()
    private val byDeadline = TreeSet(compareBy<WorkItem> { it.deadlineAt }.thenBy { it.id.value })

    val size: Int get() = byId.size
    val adapters: Set<AdapterVersion> get() = queues.keys

    fun add(work: WorkItem) {
        byId[work.id] = work
        byDeadline += work
        queues.getOrPut(work.adapter) { AdapterQueue() }.add(work)
    }

    fun remove(id: RequestId): WorkItem? {
        val work = byId.remove(id) ?: return null
        byDeadline -= work
        val queue = queues.getValue(work.adapter)
        queue.remove(work)
        if (queue.size == 0) queues.remove(work.adapter)
        return work
    }

    fun queue(adapter: AdapterVersion): AdapterQueue? = queues[adapter]

    fun count(workClass: WorkClass): Int = queues.values.sumOf { it.count(workClass) }

    fun count(adapter: AdapterVersion): Int = queues[adapter]?.size ?: 0

    /** The earliest deadline, or `Long.MAX_VALUE` when nothing is queued. */
    fun firstDeadline(): Long = if (byDeadline.isEmpty()) Long.MAX_VALUE else byDeadline.first().deadlineAt

    /** Requests whose deadline is before [until], the earliest first. */
    fun dueBefore(until: Long): List<WorkItem> = byDeadline.takeWhile { it.deadlineAt < until }

    /** The latest arrival of the least urgent class that has queued requests; null when nothing is queued. */
    fun leastUrgent(): WorkItem? {
        val workClass = WorkClass.entries.lastOrNull { c -> queues.values.any { it.count(c) > 0 } } ?: return null
        return queues.values.mapNotNull { it.last(workClass) }.maxByOrNull { it.arrivedAt }
    }
}
