package io.apricotslip.serving.timing

/**
 * What is known of one server from the measurements of all nodes.
 *
 * @property sums sums over all nodes.
 * @property speed estimated times; null where no server of the service has samples.
 * @property failing whether the server fails so often that it gets only as much as is needed to see it recover; null
 * while there are too few samples to tell.
 */
public class FleetTiming(public val sums: TimingSums, public val speed: ServerSpeed?, public val failing: Boolean?)

/**
 * Times of one server.
 *
 * @property millisPerToken time for a prompt token before the first event; 0 for servers other than engines.
 * @property firstMillis mean time until the first event or the response.
 * @property gapMillis mean gap between two events; null where there are no samples.
 * @property relative time for the same work in relation to the mean of its peers: 2 is twice as slow.
 */
public class ServerSpeed(
    public val millisPerToken: Double,
    public val firstMillis: Double,
    public val gapMillis: Double?,
    public val relative: Double,
)
