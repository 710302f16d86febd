package io.apricotslip.safety

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/** An adopted list and when its roles took effect, in nanoseconds of the monotonic clock; null if not yet. */
internal data class AdoptedList(val list: VmList, val tenuredAt: Long? = null)

/**
 * Decides when the roles of an adopted list take effect: rule 3 of docs/DESIGN.md.
 *
 * @param waitNanos time that must pass after every peer has answered; longer than the lease of any other VM.
 */
internal class Tenure(private val self: VmId, private val waitNanos: Long, startedAt: Long) {
    private val adopted = ArrayDeque(listOf(AdoptedList(VmList.Empty)))
    private var answersCountFrom = startedAt
    private var allAnsweredAt: Long? = null

    /** Lists adopted in sequence without a break of tenure, oldest first; the last is the currently adopted one. */
    val unbroken: List<AdoptedList> get() = adopted

    /** The newest list whose roles are in effect, or null while there is none. */
    var current: VmList? = null
        private set

    /** Increases with each break and each advance of tenure; evidence obtained in another epoch is invalid. */
    var epoch: Long = 0
        private set

    /** Ends all roles; only answers to heartbeats sent at or after [now] count towards the next tenure. */
    fun reset(now: Long) {
        val last = adopted.last()
        adopted.clear()
        adopted.addLast(AdoptedList(last.list))
        answersCountFrom = now
        allAnsweredAt = null
        if (current != null) epoch++
        current = null
    }

    /** Handles adoption of a newer list: roles stay if no revision was skipped and both lists hold this VM. */
    fun listAdopted(new: VmList, now: Long) {
        val old = adopted.last().list
        val consecutive = new.revision.value == old.revision.value + 1
        adopted.addLast(AdoptedList(new))
        allAnsweredAt = null
        if (!consecutive || old[self] == null || new[self] == null) reset(now)
        if (adopted.size > MAX_TRACKED_LISTS) adopted.removeFirst()
        if (adopted.none { it.list === current }) current = null
    }

    /**
     * Puts the roles of the adopted list into effect once [waitNanos] have passed since every other VM on it had
     * answered with its revision.
     */
    fun update(highestRevision: ListRevision, answers: PeerAnswers, now: Long) {
        val list = adopted.last().list
        if (current === list) return
        if (list[self] == null || highestRevision > list.revision || !allAnswered(list, answers)) {
            allAnsweredAt = null
            return
        }
        val answeredAt = allAnsweredAt ?: now
        allAnsweredAt = answeredAt
        if (now - answeredAt < waitNanos) return
        adopted[adopted.lastIndex] = AdoptedList(list, now)
        current = list
        epoch++
    }

    private fun allAnswered(list: VmList, answers: PeerAnswers): Boolean = list.vms.filter { it.id != self }.all { vm ->
        val answer = answers[vm.id]
        answer != null && answer.revision >= list.revision && answer.sentAt >= answersCountFrom
    }

    private companion object {
        const val MAX_TRACKED_LISTS = 32
    }
}
