package io.apricotslip.serving.timing

import io.apricotslip.api.peer.ServerTimingUse

/** What nodes tell each other about the speed and the failures of backend servers. */
public interface TimingExchangeState {
    /** What this node measured within the last seconds; only servers with samples. */
    public fun ownTimings(now: Long): List<ServerTimingUse>

    /** Applies what all nodes measured, this node included. */
    public fun applyTimings(timings: List<ServerTimingUse>, now: Long)
}
