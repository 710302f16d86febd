package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * Settings of a node. Every key has a default, except those of [vm], the ports of all servers, the address of [callers]
 * and the addresses in [platform].
 */
@Serializable
public data class NodeSettings(
    public val vm: VmSettings,
    public val callers: CallerSettings,
    public val operators: OperatorSettings,
    public val peers: PeerSettings,
    public val platform: PlatformSettings,
    public val limits: LimitSettings = LimitSettings(),
    public val policy: PolicySettings = PolicySettings(),
    public val reservations: ReservationSettings = ReservationSettings(),
    public val stop: StopSettings = StopSettings(),
    public val traces: TraceSettings = TraceSettings(),
    public val history: HistorySettings = HistorySettings(),
    public val logs: LogSettings = LogSettings(),
)
