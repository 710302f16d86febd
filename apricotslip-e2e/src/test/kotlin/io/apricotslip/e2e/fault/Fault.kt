package io.apricotslip.e2e.fault

import io.apricotslip.e2e.cluster.Cluster
import io.apricotslip.e2e.cluster.Http
import io.apricotslip.testutils.process.ProcessSignal
import io.apricotslip.testutils.relay.FaultRelay
import io.apricotslip.testutils.relay.RelayDirection

/** A fault that begins, lasts a while and ends. [vms] are the VMs that it takes out of the majority. */
internal sealed class Fault {
    open val vms: Set<String> get() = emptySet()

    /** SIGKILL; a new process takes the VM's place at the end. */
    data class Kill(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** SIGSTOP, and SIGCONT at the end. */
    data class Freeze(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** The links of a VM to the others end, and new ones fail. */
    data class Cut(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** Bytes between a VM and the others are held back, and arrive late at the end. */
    data class Hold(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** Bytes to a VM are held back; those from it arrive. */
    data class HoldOneWay(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** All open links between nodes go silent for good; new ones work. */
    data object SilentLinks : Fault()

    /** All open connections to an engine go silent for good; new ones work. */
    data class SilentEngine(val engine: String) : Fault()

    /** The configuration service and the list of VMs are down or stale. */
    data class Platform(val mode: String) : Fault()

    /** An engine restarts cold. */
    data class EngineRestart(val engine: String) : Fault()

    /** An engine freezes for [millis]. */
    data class EngineFreeze(val engine: String, val millis: Long) : Fault()

    /** The next loads of all engines fail. */
    data class FailedLoads(val count: Int) : Fault()

    /** Answers of the booking service get lost. */
    data class LostBookingAnswers(val count: Int) : Fault()
}

/** Makes faults in a cluster. */
internal class FaultMaker(private val cluster: Cluster) {
    fun begin(fault: Fault) {
        when (fault) {
            is Fault.Kill -> cluster.node(fault.vm).daemon.signal(ProcessSignal.KILL)
            is Fault.Freeze -> cluster.node(fault.vm).daemon.signal(ProcessSignal.STOP)
            is Fault.Cut -> cluster.onLinksOf(fault.vm) { from -> disconnect(from) }
            is Fault.Hold -> cluster.onLinksOf(fault.vm) { from -> hold(from = from) }
            is Fault.HoldOneWay -> holdTo(fault.vm)
            is Fault.SilentLinks -> cluster.names().forEach { cluster.linksTo(it).silence() }
            is Fault.SilentEngine -> admin(fault.engine, "silence")
            is Fault.Platform -> platform(fault.mode)
            is Fault.EngineRestart -> admin(fault.engine, "restart?coldMillis=$COLD_MILLIS")
            is Fault.EngineFreeze -> admin(fault.engine, "freeze?millis=${fault.millis}")
            is Fault.FailedLoads -> cluster.standins.engines.forEach { admin(it.id, "fail-loads?count=${fault.count}") }
            is Fault.LostBookingAnswers -> dropBookingAnswers(fault.count)
        }
    }

    fun end(fault: Fault) {
        when (fault) {
            is Fault.Kill -> cluster.startNode(fault.vm)

            is Fault.Freeze -> cluster.node(fault.vm).daemon.signal(ProcessSignal.CONT)

            is Fault.Cut, is Fault.Hold, is Fault.HoldOneWay -> cluster.healLinks()

            is Fault.Platform -> platform("up")

            is Fault.SilentLinks, is Fault.SilentEngine, is Fault.EngineRestart, is Fault.EngineFreeze,
            is Fault.FailedLoads, is Fault.LostBookingAnswers,
            -> Unit
        }
    }

    /** On links that others opened to [vm] that is the forward direction, on those that it opened the backward one. */
    private fun holdTo(vm: String) = cluster.onLinksOf(vm) { from ->
        hold(setOf(if (from == null) RelayDirection.FORWARD else RelayDirection.BACKWARD), from)
    }

    private fun platform(mode: String) = listOf(cluster.standins.config, cluster.standins.vms).forEach {
        Http.post(it.admin, "/admin/mode?mode=$mode")
    }

    private fun admin(engine: String, control: String) {
        Http.post(cluster.standins.engine(engine).admin, "/admin/$control")
    }

    private fun dropBookingAnswers(count: Int) = cluster.standins.bookings.forEach {
        Http.post(it.admin, "/admin/drop-answers?count=$count")
    }

    private companion object {
        const val COLD_MILLIS = 1_500
    }
}
