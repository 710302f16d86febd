package io.apricotslip.wire.frame

import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import io.apricotslip.wire.Message
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * First frame that each side sends on a connection.
 *
 * @property magic constant that identifies the protocol.
 * @property protocol newest protocol version that the sender supports.
 * @property oldestProtocol oldest protocol version that the sender supports.
 * @property linkNumber sequence number of the connection; increases within one incarnation of the sender.
 * @property build version of the sender's build, for logs.
 */
@Serializable
internal data class Hello(
    @SerialName("m") val magic: String,
    @SerialName("p") val protocol: Int,
    @SerialName("o") val oldestProtocol: Int,
    @SerialName("v") val vm: VmId,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("l") val linkNumber: Long,
    @SerialName("b") val build: String,
) {
    /** Whether [other] belongs to a later connection of the same incarnation. */
    fun isOlderThan(other: Hello): Boolean = incarnation == other.incarnation && linkNumber < other.linkNumber

    companion object {
        const val MAGIC = "apricotslip"
        const val PROTOCOL = 1
        const val OLDEST_PROTOCOL = 1
    }
}

/** One frame: a [hello], a [message], or a ping when it holds neither. */
@Serializable
internal data class Frame(@SerialName("h") val hello: Hello? = null, @SerialName("m") val message: Message? = null) {
    companion object {
        val Ping = Frame()
    }
}
