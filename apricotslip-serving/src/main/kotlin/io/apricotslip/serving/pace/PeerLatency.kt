package io.apricotslip.serving.pace

import io.apricotslip.api.id.ServiceId

/** Typical time to the first event at the servers of each service that have their full share, as this node sees it. */
public class PeerLatency {
    private val means = HashMap<ServiceId, Double>()

    /** Records a first event after [millis] where [expectedMillis] are usual for a request of its size. */
    public fun record(service: ServiceId, millis: Double, expectedMillis: Double) {
        val ratio = millis / expectedMillis
        means.merge(service, ratio) { mean, sample -> mean + (sample - mean) * SMOOTHING_FACTOR }
    }

    /**
     * How many times as long as at the peers a first event took that came after [millis], where [expectedMillis] are
     * usual for a request of its size; 1 while nothing is known of the peers.
     */
    public fun slowness(service: ServiceId, millis: Double, expectedMillis: Double): Double {
        val mean = means[service] ?: return 1.0
        return if (mean > 0) millis / expectedMillis / mean else 1.0
    }

    private companion object {
        /** Averages over about the last fifty first events of the service at this node. */
        const val SMOOTHING_FACTOR = 0.02
    }
}
