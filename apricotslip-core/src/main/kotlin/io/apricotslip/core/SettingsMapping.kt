package io.apricotslip.core

import io.apricotslip.platform.PlatformEndpoint
import io.apricotslip.platform.PlatformOptions
import io.apricotslip.rules.engine.SchedulerGoal
import io.apricotslip.rules.engine.SchedulerOptions
import io.apricotslip.rules.limits.AdmissionOptions
import io.apricotslip.settings.Goal
import io.apricotslip.settings.LimitSettings
import io.apricotslip.settings.PeerSettings
import io.apricotslip.settings.PlatformAddress
import io.apricotslip.settings.PlatformSettings
import io.apricotslip.settings.PolicySettings
import io.apricotslip.wire.LinkOptions

/** Converts node settings to the options of the other modules. */
internal object SettingsMapping {
    fun links(s: PeerSettings) = LinkOptions(
        heartbeatMillis = s.heartbeatMillis,
        silentMillis = s.silentMillis,
        reconnectMillis = s.reconnectMillis,
        maxFrameBytes = s.maxFrameBytes,
        maxQueuedBytes = s.maxQueuedBytes,
    )

    fun platform(s: PlatformSettings) = PlatformOptions(
        watchMillis = s.watchMillis,
        timeoutMillis = s.timeoutMillis,
        retryMillis = s.retryMillis,
        maxRetryMillis = s.maxRetryMillis,
    )

    fun scheduler(policy: PolicySettings, limits: LimitSettings) = SchedulerOptions(
        goal =
        when (policy.goal) {
            Goal.LOAD_STALLS -> SchedulerGoal.LOAD_STALLS
            Goal.BATCH_EFFICIENCY -> SchedulerGoal.BATCH_EFFICIENCY
        },
        queueLimit = limits.queuePerEngine,
        popularityHalfLifeMillis = policy.popularityHalfLifeMillis,
        loadBackoffMillis = policy.loadBackoffMillis,
        maxLoadBackoffMillis = policy.maxLoadBackoffMillis,
        deferrableMaxWaitMillis = policy.deferrableMaxWaitMillis,
    )

    fun admission(s: LimitSettings) = AdmissionOptions(
        perCustomer = s.perCustomer,
        interactive = s.interactive,
        plan = s.plan,
        deferrable = s.deferrable,
    )
}

internal fun PlatformAddress.toEndpoint(): PlatformEndpoint = PlatformEndpoint(address, port)
