package io.apricotslip.wire

/**
 * Limits and timeouts of the links between nodes.
 *
 * @property heartbeatMillis interval between the pings that each side sends.
 * @property silentMillis a link is closed after this long without a byte from the peer; covers several heartbeats.
 * @property connectTimeoutMillis timeout for opening a connection, and again for exchanging the hellos on it.
 * @property reconnectMillis initial delay before a lost link is opened again; doubles with each failure.
 * @property maxReconnectMillis upper bound of the reconnect delay before jitter.
 * @property reconnectJitter fraction by which a reconnect delay varies at most either way, from 0.0 to 1.0.
 * @property maxFrameBytes maximum size of the content of a frame that is sent or accepted.
 * @property maxQueuedBytes maximum bytes queued for one peer; beyond it [PeerNetwork.send] returns [SendResult.FULL].
 * @property maxInboundBytes maximum bytes received from one peer and not yet consumed from [PeerNetwork.events]; beyond
 * it the socket is not read.
 * @property maxBufferedEvents maximum number of events of all links buffered for [PeerNetwork.events].
 * @property maxUnlistedLinks maximum number of links to peers that are missing from the list of
 * [PeerNetwork.updatePeers]. Such peers are accepted because this node's list may be older than theirs.
 * @property maxHandshakes maximum number of accepted connections whose hello has not arrived yet.
 */
public data class LinkOptions(
    public val heartbeatMillis: Long = 500,
    public val silentMillis: Long = 2_000,
    public val connectTimeoutMillis: Long = 1_000,
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
