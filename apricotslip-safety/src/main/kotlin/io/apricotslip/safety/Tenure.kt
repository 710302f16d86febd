package io.apricotslip.safety

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/** An adopted list; its roles were taken at [since] (nanoseconds), or not yet. */
internal data class AdoptedList(val list: VmList, val since: Long? = null)

/**
 * Decides when the roles of an adopted list are taken: rule 3 of docs/DESIGN.md.
 *
 * @param waitNanos time that must pass after the last answer, longer than the lease of any other VM.
 */
internal class Tenure(private val self: VmId, private val waitNanos: Long, started: Long) {
    private val adopted = ArrayDeque(listOf(AdoptedList(VmList.Empty)))
    private var beganAt = started
    private var completeAt: Long? = null

    /** Lists adopted one after the other without a break of tenure, oldest first; the last is the adopted one. */
    val unbroken: List<AdoptedList> get() = adopted

    /** The newest list whose roles were taken. */
    var current: VmList? = null
        private set

    /** Counts the breaks and steps of tenure; evidence gathered under another count is void. */
    var epoch: Long = 0
        private set

    /** Drops all roles; only answers to heartbeats sent from [now] on count towards the next tenure. */
    fun restart(now: Long) {
        val last = adopted.last()
        adopted.clear()
        adopted.addLast(AdoptedList(last.list))
        beganAt = now
        completeAt = null
        if (current != null) epoch++
        current = null
    }

    /** A newer list was adopted: the roles stay when no list was left out and both hold this VM. */
    fun adopted(new: VmList, now: Long) {
        val old = adopted.last().list
        val followed = new.revision.value == old.revision.value + 1
        adopted.addLast(AdoptedList(new))
        completeAt = null
        if (!followed || old[self] == null || new[self] == null) restart(now)
        if (adopted.size > REMEMBERED_LISTS) adopted.removeFirst()
        if (adopted.none { it.list === current }) current = null
    }

    /** Takes the roles of the adopted list when every other VM of it answered with its revision long enough ago. */
    fun observe(heard: ListRevision, answers: PeerAnswers, now: Long) {
        val list = adopted.last().list
        if (current === list) return
        if (list[self] == null || heard > list.revision || !allAnswered(list, answers)) {
            completeAt = null
            return
        }
        val complete = completeAt ?: now
        completeAt = complete
        if (now - complete < waitNanos) return
        adopted[adopted.lastIndex] = AdoptedList(list, now)
        current = list
        epoch++
    }

    private fun allAnswered(list: VmList, answers: PeerAnswers): Boolean = list.vms.filter { it.id != self }.all { vm ->
        val answer = answers[vm.id]
        answer != null && answer.revision >= list.revision && answer.sentAt >= beganAt
    }

    private companion object {
        const val REMEMBERED_LISTS = 32
    }
}
