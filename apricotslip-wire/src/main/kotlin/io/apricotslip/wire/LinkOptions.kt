package io.apricotslip.wire

/**
 * Limits and times of the links between nodes.
 *
 * @property heartbeatMillis time between the pings that each side sends.
 * @property silentMillis time without a byte from the peer after which a link is closed; several heartbeats.
 * @property connectMillis limit on opening a connection, and on exchanging the hellos.
 * @property reconnectMillis first delay before a lost link is opened again; doubles with each failure.
 * @property maxReconnectMillis longest such delay.
 * @property reconnectJitter share of a delay by which it varies either way, from 0.0 to 1.0.
 * @property maxFrameBytes longest frame that is sent or accepted.
 * @property maxQueuedBytes bytes queued for one peer; beyond them [PeerNetwork.send] answers [SendResult.FULL].
 * @property maxInboundBytes bytes received from one peer and not yet taken from [PeerNetwork.events]; beyond them
 * the socket is not read.
 * @property maxBufferedEvents events of all links that wait in [PeerNetwork.events].
 * @property maxUnlistedLinks links of peers that are not in the followed list, which may be older than theirs.
 * @property maxHandshakes accepted connections that have not yet sent a hello.
 */
public data class LinkOptions(
    public val heartbeatMillis: Long = 500,
    public val silentMillis: Long = 2_000,
    public val connectMillis: Long = 1_000,
    public val reconnectMillis: Long = 200,
    public val maxReconnectMillis: Long = 2_000,
    public val reconnectJitter: Double = 0.5,
    public val maxFrameBytes: Int = 4_194_304,
    public val maxQueuedBytes: Int = 16_777_216,
    public val maxInboundBytes: Int = 8_388_608,
    public val maxBufferedEvents: Int = 1_024,
    public val maxUnlistedLinks: Int = 64,
    public val maxHandshakes: Int = 256,
)
