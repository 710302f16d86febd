package io.apricotslip.settings

import io.apricotslip.api.json.RuleFault
import io.apricotslip.api.manifest.ManifestText
import java.net.URI
import java.net.URISyntaxException

/** Valid ranges of the settings and constraints between them. */
internal object SettingsRules {
    private const val MIN_KEY_CHARS = 16
    private const val MIN_HEADER_BYTES = 1_024
    private const val MAX_PORT = 65_535

    /** Space in a frame for everything except the manifest or the body that it carries. */
    private const val FRAME_OVERHEAD_BYTES = 65_536

    private val listenPorts = 0..MAX_PORT
    private val remotePorts = 1..MAX_PORT
    private val logLevels = listOf("trace", "debug", "info", "warn", "error", "off")

    /** Returns every rule that [settings] violate. */
    fun violations(settings: NodeSettings): List<RuleFault> = RuleValidator()
        .apply {
            vm(settings.vm)
            callers(settings.callers)
            operators(settings.operators)
            peers(settings.peers)
            distinctPorts(settings)
            frameSizes(settings)
            platform(settings.platform)
            limits(settings.limits)
            policy(settings.policy)
            reservations(settings.reservations)
            stop(settings.stop)
            observability(settings)
        }.violations

    private fun RuleValidator.vm(settings: VmSettings) {
        name("vm.id", settings.id.value)
        name("vm.zone", settings.zone.value)
        address("vm.address", settings.address)
    }

    private fun RuleValidator.callers(settings: CallerSettings) {
        address("callers.address", settings.address)
        port(listenPorts, "callers.port", settings.port)
        atLeast(MIN_HEADER_BYTES, "callers.maxHeaderBytes", settings.maxHeaderBytes)
        atLeast(1, "callers.maxBodyBytes", settings.maxBodyBytes)
        atLeast(1, "callers.maxConcurrent", settings.maxConcurrent)
        atLeast(1L, "callers.idleMillis", settings.idleMillis)
        atLeast(1L, "callers.defaultDeadlineMillis", settings.defaultDeadlineMillis)
        atLeast(1L, "callers.maxDeadlineMillis", settings.maxDeadlineMillis)
        check(
            settings.defaultDeadlineMillis <= settings.maxDeadlineMillis,
            "callers.defaultDeadlineMillis",
            "must not be above callers.maxDeadlineMillis",
            listOf("callers.maxDeadlineMillis"),
        )
    }

    private fun RuleValidator.operators(settings: OperatorSettings) {
        address("operators.address", settings.address)
        port(listenPorts, "operators.port", settings.port)
        settings.keys.forEachIndexed { i, key ->
            val path = "operators.keys[$i]"
            val printable = key.all { it in '!'..'~' }
            check(
                key.length >= MIN_KEY_CHARS && printable,
                path,
                "must have $MIN_KEY_CHARS or more visible characters",
            )
            check(settings.keys.indexOf(key) == i, path, "is given twice", listOf("operators.keys"))
        }
    }

    private fun RuleValidator.peers(settings: PeerSettings) {
        port(listenPorts, "peers.port", settings.port)
        atLeast(1L, "peers.heartbeatMillis", settings.heartbeatMillis)
        atLeast(1L, "peers.reconnectMillis", settings.reconnectMillis)
        atLeast(1, "peers.streamWindowTokens", settings.streamWindowTokens)
        atLeast(0L, "peers.resumeMillis", settings.resumeMillis)
        val heartbeat = listOf("peers.heartbeatMillis")
        check(
            settings.silentMillis > settings.heartbeatMillis,
            "peers.silentMillis",
            "must be above peers.heartbeatMillis",
            heartbeat,
        )
        check(
            settings.leaseMillis / 2 >= settings.heartbeatMillis &&
                settings.leaseMillis != 2 * settings.heartbeatMillis,
            "peers.leaseMillis",
            "must be above twice peers.heartbeatMillis",
            heartbeat,
        )
    }

    private fun RuleValidator.distinctPorts(settings: NodeSettings) {
        val ports =
            listOf(
                "callers.port" to settings.callers.port,
                "operators.port" to settings.operators.port,
                "peers.port" to settings.peers.port,
            )
        ports.forEachIndexed { i, (path, port) ->
            val other = ports.take(i).firstOrNull { it.second == port && port != 0 } ?: return@forEachIndexed
            check(false, path, "clashes with ${other.first}: both are $port", listOf(other.first))
        }
    }

    private fun RuleValidator.frameSizes(settings: NodeSettings) {
        atLeast(ManifestText.MAX_BYTES + FRAME_OVERHEAD_BYTES, "peers.maxFrameBytes", settings.peers.maxFrameBytes)
        check(
            settings.peers.maxFrameBytes <= settings.peers.maxQueuedBytes,
            "peers.maxQueuedBytes",
            "must be at least peers.maxFrameBytes",
            listOf("peers.maxFrameBytes"),
        )
        check(
            settings.callers.maxBodyBytes.toLong() + FRAME_OVERHEAD_BYTES <= settings.peers.maxFrameBytes,
            "callers.maxBodyBytes",
            "must be at least $FRAME_OVERHEAD_BYTES below peers.maxFrameBytes, which carries the body",
            listOf("peers.maxFrameBytes"),
        )
    }

    private fun RuleValidator.platform(settings: PlatformSettings) {
        address("platform.configuration.address", settings.configuration.address)
        port(remotePorts, "platform.configuration.port", settings.configuration.port)
        address("platform.vms.address", settings.vms.address)
        port(remotePorts, "platform.vms.port", settings.vms.port)
        name("platform.manifestKey", settings.manifestKey)
        atLeast(1L, "platform.watchMillis", settings.watchMillis)
        atLeast(1L, "platform.timeoutMillis", settings.timeoutMillis)
        atLeast(1L, "platform.retryMillis", settings.retryMillis)
        check(
            settings.maxRetryMillis >= settings.retryMillis,
            "platform.maxRetryMillis",
            "must be at least platform.retryMillis",
            listOf("platform.retryMillis"),
        )
    }

    private fun RuleValidator.limits(settings: LimitSettings) {
        atLeast(1, "limits.perCustomer", settings.perCustomer)
        atLeast(1, "limits.interactive", settings.interactive)
        atLeast(1, "limits.plan", settings.plan)
        atLeast(1, "limits.deferrable", settings.deferrable)
        atLeast(1, "limits.queuePerEngine", settings.queuePerEngine)
        atLeast(0, "limits.retriesPerRequest", settings.retriesPerRequest)
        ratio("limits.retryBudgetRatio", settings.retryBudgetRatio)
    }

    private fun RuleValidator.policy(settings: PolicySettings) {
        atLeast(1L, "policy.popularityHalfLifeMillis", settings.popularityHalfLifeMillis)
        atLeast(0L, "policy.deferrableMaxWaitMillis", settings.deferrableMaxWaitMillis)
        atLeast(1L, "policy.loadBackoffMillis", settings.loadBackoffMillis)
        check(
            settings.maxLoadBackoffMillis >= settings.loadBackoffMillis,
            "policy.maxLoadBackoffMillis",
            "must be at least policy.loadBackoffMillis",
            listOf("policy.loadBackoffMillis"),
        )
    }

    private fun RuleValidator.reservations(settings: ReservationSettings) {
        atLeast(0L, "reservations.clockSkewMillis", settings.clockSkewMillis)
        atLeast(1L, "reservations.timeoutMillis", settings.timeoutMillis)
        check(
            settings.retentionMillis > settings.clockSkewMillis && settings.retentionMillis > settings.timeoutMillis,
            "reservations.retentionMillis",
            "must be above reservations.clockSkewMillis and reservations.timeoutMillis",
            listOf("reservations.clockSkewMillis", "reservations.timeoutMillis"),
        )
    }

    private fun RuleValidator.stop(settings: StopSettings) {
        atLeast(0L, "stop.announceMillis", settings.announceMillis)
        check(
            settings.graceMillis >= settings.announceMillis,
            "stop.graceMillis",
            "must be at least stop.announceMillis",
            listOf("stop.announceMillis"),
        )
    }

    private fun RuleValidator.observability(settings: NodeSettings) {
        ratio("traces.sampleRatio", settings.traces.sampleRatio)
        settings.traces.otlpEndpoint?.let {
            check(isHttpUrl(it), "traces.otlpEndpoint", "'$it' is not an http:// or https:// URL")
        }
        settings.history.file?.let { check(it.isNotBlank(), "history.file", "must not be blank") }
        check(settings.logs.level in logLevels, "logs.level", "must be one of ${logLevels.joinToString()}")
    }

    private fun isHttpUrl(text: String): Boolean = try {
        val uri = URI(text)
        uri.scheme in listOf("http", "https") && uri.host != null
    } catch (e: URISyntaxException) {
        false
    }
}
