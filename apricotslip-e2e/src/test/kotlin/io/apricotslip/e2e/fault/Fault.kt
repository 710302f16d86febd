package io.apricotslip.e2e.fault

import io.apricotslip.e2e.cluster.Cluster
import io.apricotslip.e2e.cluster.Http
import io.apricotslip.testutils.process.ProcessSignal
import io.apricotslip.testutils.relay.FaultRelay
import io.apricotslip.testutils.relay.RelayDirection

/** A fault with a start and an end. [vms] are the VMs that it separates from the majority. */
internal sealed class Fault {
    open val vms: Set<String> get() = emptySet()

    /** Kills a VM's node with SIGKILL; a new process replaces it at the end. */
    data class Kill(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** Suspends a VM's node with SIGSTOP and resumes it with SIGCONT at the end. */
    data class Freeze(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** Closes the links between a VM and the others; new links fail until the end. */
    data class Disconnect(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** Holds back bytes between a VM and the others, and delivers them at the end. */
    data class Hold(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** Holds back bytes sent to a VM, while bytes sent by it arrive (asymmetric partition). */
    data class HoldOneWay(val vm: String) : Fault() {
        override val vms: Set<String> get() = setOf(vm)
    }

    /** Makes all open links between nodes permanently silent; new links work. */
    data object SilentLinks : Fault()

    /** Makes all open connections to an engine permanently silent; new connections work. */
    data class SilentEngine(val engine: String) : Fault()

    /** Puts the configuration service and the VM list service into [mode], `down` or `stale`. */
    data class PlatformMode(val mode: String) : Fault()

    /** Restarts an engine, which then has a cold start. */
    data class EngineRestart(val engine: String) : Fault()

    /** Suspends an engine for [millis]. */
    data class EngineFreeze(val engine: String, val millis: Long) : Fault()

    /** Makes the next [count] adapter loads of each engine fail. */
    data class FailedLoads(val count: Int) : Fault()

    /** Drops [count] answers of each replica of the booking service. */
    data class LostBookingAnswers(val count: Int) : Fault()
}

/** Injects faults into a cluster and ends them. */
internal class FaultInjector(private val cluster: Cluster) {
    fun begin(fault: Fault) {
        when (fault) {
            is Fault.Kill -> cluster.node(fault.vm).daemon.signal(ProcessSignal.KILL)
            is Fault.Freeze -> cluster.node(fault.vm).daemon.signal(ProcessSignal.STOP)
            is Fault.Disconnect -> cluster.applyToLinksOf(fault.vm) { from -> disconnect(from) }
            is Fault.Hold -> cluster.applyToLinksOf(fault.vm) { from -> hold(from = from) }
            is Fault.HoldOneWay -> holdBytesTo(fault.vm)
            is Fault.SilentLinks -> cluster.names().forEach { cluster.relayTo(it).silence() }
            is Fault.SilentEngine -> controlEngine(fault.engine, "silence")
            is Fault.PlatformMode -> setPlatformMode(fault.mode)
            is Fault.EngineRestart -> controlEngine(fault.engine, "restart?coldMillis=$COLD_START_MILLIS")
            is Fault.EngineFreeze -> controlEngine(fault.engine, "freeze?millis=${fault.millis}")
            is Fault.FailedLoads ->
                cluster.standins.engines.forEach { controlEngine(it.id, "fail-loads?count=${fault.count}") }

            is Fault.LostBookingAnswers -> dropBookingAnswers(fault.count)
        }
    }

    fun end(fault: Fault) {
        when (fault) {
            is Fault.Kill -> cluster.startNode(fault.vm)

            is Fault.Freeze -> cluster.node(fault.vm).daemon.signal(ProcessSignal.CONT)

            is Fault.Disconnect, is Fault.Hold, is Fault.HoldOneWay -> cluster.healLinks()

            is Fault.PlatformMode -> setPlatformMode("up")

            is Fault.SilentLinks, is Fault.SilentEngine, is Fault.EngineRestart, is Fault.EngineFreeze,
            is Fault.FailedLoads, is Fault.LostBookingAnswers,
            -> Unit
        }
    }

    /**
     * Holds back bytes to [vm]: the forward direction on links that other VMs opened, and the backward direction on
     * links that [vm] opened.
     */
    private fun holdBytesTo(vm: String) = cluster.applyToLinksOf(vm) { from ->
        hold(setOf(if (from == null) RelayDirection.FORWARD else RelayDirection.BACKWARD), from)
    }

    private fun setPlatformMode(mode: String) = listOf(cluster.standins.config, cluster.standins.vmList).forEach {
        Http.post(it.adminPort, "/admin/mode?mode=$mode")
    }

    private fun controlEngine(engine: String, command: String) {
        Http.post(cluster.standins.engine(engine).adminPort, "/admin/$command")
    }

    private fun dropBookingAnswers(count: Int) = cluster.standins.bookings.forEach {
        Http.post(it.adminPort, "/admin/drop-answers?count=$count")
    }

    private companion object {
        const val COLD_START_MILLIS = 1_500
    }
}
