package io.apricotslip.settings

import io.apricotslip.api.json.RuleFault
import io.apricotslip.api.manifest.ManifestText
import java.net.URI
import java.net.URISyntaxException

/** Ranges of the settings and relations between them. */
internal object SettingsRules {
    private const val MIN_KEY_LENGTH = 16
    private const val MIN_HEADER_BYTES = 1_024
    private const val MAX_PORT = 65_535

    /** Room in a frame beside the manifest or the body that it carries. */
    private const val FRAME_OVERHEAD_BYTES = 65_536

    private val listenPorts = 0..MAX_PORT
    private val remotePorts = 1..MAX_PORT
    private val logLevels = listOf("trace", "debug", "info", "warn", "error", "off")

    /** Every violated rule of [s]. */
    fun broken(s: NodeSettings): List<RuleFault> = RuleChecks()
        .apply {
            vm(s.vm)
            callers(s.callers)
            operators(s.operators)
            peers(s.peers)
            ports(s)
            frames(s)
            platform(s.platform)
            limits(s.limits)
            policy(s.policy)
            reservations(s.reservations)
            stop(s.stop)
            records(s)
        }.broken

    private fun RuleChecks.vm(vm: VmSettings) {
        name("vm.id", vm.id.value)
        name("vm.zone", vm.zone.value)
        address("vm.address", vm.address)
    }

    private fun RuleChecks.callers(c: CallerSettings) {
        address("callers.address", c.address)
        port(listenPorts, "callers.port", c.port)
        atLeast(MIN_HEADER_BYTES, "callers.maxHeaderBytes", c.maxHeaderBytes)
        atLeast(1, "callers.maxBodyBytes", c.maxBodyBytes)
        atLeast(1, "callers.maxConcurrent", c.maxConcurrent)
        atLeast(1L, "callers.idleMillis", c.idleMillis)
        atLeast(1L, "callers.defaultDeadlineMillis", c.defaultDeadlineMillis)
        atLeast(1L, "callers.maxDeadlineMillis", c.maxDeadlineMillis)
        check(
            c.defaultDeadlineMillis <= c.maxDeadlineMillis,
            "callers.defaultDeadlineMillis",
            "must not be above callers.maxDeadlineMillis",
            listOf("callers.maxDeadlineMillis"),
        )
    }

    private fun RuleChecks.operators(o: OperatorSettings) {
        address("operators.address", o.address)
        port(listenPorts, "operators.port", o.port)
        o.keys.forEachIndexed { i, key ->
            val path = "operators.keys[$i]"
            val printable = key.all { it in '!'..'~' }
            check(
                key.length >= MIN_KEY_LENGTH && printable,
                path,
                "must have $MIN_KEY_LENGTH or more visible characters",
            )
            check(o.keys.indexOf(key) == i, path, "is given twice", listOf("operators.keys"))
        }
    }

    private fun RuleChecks.peers(p: PeerSettings) {
        port(listenPorts, "peers.port", p.port)
        atLeast(1L, "peers.heartbeatMillis", p.heartbeatMillis)
        atLeast(1L, "peers.reconnectMillis", p.reconnectMillis)
        atLeast(1, "peers.streamWindowTokens", p.streamWindowTokens)
        atLeast(0L, "peers.resumeMillis", p.resumeMillis)
        val heartbeat = listOf("peers.heartbeatMillis")
        check(
            p.silentMillis > p.heartbeatMillis,
            "peers.silentMillis",
            "must be above peers.heartbeatMillis",
            heartbeat,
        )
        check(
            p.leaseMillis / 2 >= p.heartbeatMillis && p.leaseMillis != 2 * p.heartbeatMillis,
            "peers.leaseMillis",
            "must be above twice peers.heartbeatMillis",
            heartbeat,
        )
    }

    private fun RuleChecks.ports(s: NodeSettings) {
        val ports =
            listOf(
                "callers.port" to s.callers.port,
                "operators.port" to s.operators.port,
                "peers.port" to s.peers.port,
            )
        ports.forEachIndexed { i, (path, port) ->
            val other = ports.take(i).firstOrNull { it.second == port && port != 0 } ?: return@forEachIndexed
            check(false, path, "clashes with ${other.first}: both are $port", listOf(other.first))
        }
    }

    private fun RuleChecks.frames(s: NodeSettings) {
        atLeast(ManifestText.MAX_BYTES + FRAME_OVERHEAD_BYTES, "peers.maxFrameBytes", s.peers.maxFrameBytes)
        check(
            s.peers.maxFrameBytes <= s.peers.maxQueuedBytes,
            "peers.maxQueuedBytes",
            "must be at least peers.maxFrameBytes",
            listOf("peers.maxFrameBytes"),
        )
        check(
            s.callers.maxBodyBytes.toLong() + FRAME_OVERHEAD_BYTES <= s.peers.maxFrameBytes,
            "callers.maxBodyBytes",
            "must be at least $FRAME_OVERHEAD_BYTES below peers.maxFrameBytes, which carries the body",
            listOf("peers.maxFrameBytes"),
        )
    }

    private fun RuleChecks.platform(p: PlatformSettings) {
        address("platform.configuration.address", p.configuration.address)
        port(remotePorts, "platform.configuration.port", p.configuration.port)
        address("platform.vms.address", p.vms.address)
        port(remotePorts, "platform.vms.port", p.vms.port)
        name("platform.manifestKey", p.manifestKey)
        atLeast(1L, "platform.watchMillis", p.watchMillis)
        atLeast(1L, "platform.timeoutMillis", p.timeoutMillis)
        atLeast(1L, "platform.retryMillis", p.retryMillis)
        check(
            p.maxRetryMillis >= p.retryMillis,
            "platform.maxRetryMillis",
            "must be at least platform.retryMillis",
            listOf("platform.retryMillis"),
        )
    }

    private fun RuleChecks.limits(l: LimitSettings) {
        atLeast(1, "limits.perCustomer", l.perCustomer)
        atLeast(1, "limits.interactive", l.interactive)
        atLeast(1, "limits.plan", l.plan)
        atLeast(1, "limits.deferrable", l.deferrable)
        atLeast(1, "limits.queuePerEngine", l.queuePerEngine)
        atLeast(0, "limits.retriesPerRequest", l.retriesPerRequest)
        ratio("limits.retryBudgetRatio", l.retryBudgetRatio)
    }

    private fun RuleChecks.policy(p: PolicySettings) {
        atLeast(1L, "policy.popularityHalfLifeMillis", p.popularityHalfLifeMillis)
        atLeast(0L, "policy.deferrableMaxWaitMillis", p.deferrableMaxWaitMillis)
        atLeast(1L, "policy.loadBackoffMillis", p.loadBackoffMillis)
        check(
            p.maxLoadBackoffMillis >= p.loadBackoffMillis,
            "policy.maxLoadBackoffMillis",
            "must be at least policy.loadBackoffMillis",
            listOf("policy.loadBackoffMillis"),
        )
    }

    private fun RuleChecks.reservations(r: ReservationSettings) {
        atLeast(0L, "reservations.clockSkewMillis", r.clockSkewMillis)
        atLeast(1L, "reservations.timeoutMillis", r.timeoutMillis)
        check(
            r.retentionMillis > r.clockSkewMillis && r.retentionMillis > r.timeoutMillis,
            "reservations.retentionMillis",
            "must be above reservations.clockSkewMillis and reservations.timeoutMillis",
            listOf("reservations.clockSkewMillis", "reservations.timeoutMillis"),
        )
    }

    private fun RuleChecks.stop(s: StopSettings) {
        atLeast(0L, "stop.announceMillis", s.announceMillis)
        check(
            s.graceMillis >= s.announceMillis,
            "stop.graceMillis",
            "must be at least stop.announceMillis",
            listOf("stop.announceMillis"),
        )
    }

    private fun RuleChecks.records(s: NodeSettings) {
        ratio("traces.sampleRatio", s.traces.sampleRatio)
        s.traces.otlpEndpoint?.let {
            check(isHttp(it), "traces.otlpEndpoint", "'$it' is not an http:// or https:// URL")
        }
        s.history.file?.let { check(it.isNotBlank(), "history.file", "must not be blank") }
        check(s.logs.level in logLevels, "logs.level", "must be one of ${logLevels.joinToString()}")
    }

    private fun isHttp(text: String): Boolean = try {
        val uri = URI(text)
        uri.scheme in listOf("http", "https") && uri.host != null
    } catch (e: URISyntaxException) {
        false
    }
}
