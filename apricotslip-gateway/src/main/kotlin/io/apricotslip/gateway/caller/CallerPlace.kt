package io.apricotslip.gateway.caller

/**
 * The place of a request among those of its caller's connection.
 *
 * @property connection id of the connection.
 * @property number counted from 1 in the order in which the requests were received.
 */
public data class CallerPlace(public val connection: String, public val number: Long) {
    override fun toString(): String = "$connection/$number"
}
