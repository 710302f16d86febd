package io.apricotslip.wire.frame

import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import io.apricotslip.wire.Message
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * First frame of each side of a link.
 *
 * @property protocol newest version of the protocol that the sender speaks.
 * @property oldest oldest version that the sender speaks.
 * @property link number of the connection, growing within one incarnation of the node that opens it.
 * @property build version of the sender's build, for logs.
 */
@Serializable
internal data class Hello(
    @SerialName("m") val magic: String,
    @SerialName("p") val protocol: Int,
    @SerialName("o") val oldest: Int,
    @SerialName("v") val vm: VmId,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("l") val link: Long,
    @SerialName("b") val build: String,
) {
    /** Whether [other] was opened later by the same incarnation. */
    fun isOlderThan(other: Hello): Boolean = incarnation == other.incarnation && link < other.link

    companion object {
        const val MAGIC = "apricotslip"
        const val PROTOCOL = 1
        const val OLDEST = 1
    }
}

/** One frame: a [hello], a [message], or a ping when it holds neither. */
@Serializable
internal data class Frame(@SerialName("h") val hello: Hello? = null, @SerialName("m") val message: Message? = null) {
    companion object {
        val Ping = Frame()
    }
}
