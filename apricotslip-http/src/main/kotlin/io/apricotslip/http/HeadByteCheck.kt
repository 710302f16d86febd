package io.apricotslip.http

import io.netty.buffer.ByteBuf
import io.netty.util.ByteProcessor

/**
 * Looks for control bytes in the heads of the responses on a connection. HTTP allows none but a tab, and the carriage
 * return and line feed that end a line.
 *
 * The parser lets others pass in a reason phrase, and trims them at both ends of a folded line.
 */
internal class HeadByteCheck : ByteProcessor {
    private var afterCarriageReturn = false

    /** The first byte found that HTTP does not allow; null while there is none. */
    var forbidden: Byte? = null
        private set

    /** Checks the next bytes of a head: [length] bytes of [buffer] from [start]. */
    fun check(buffer: ByteBuf, start: Int, length: Int) {
        if (forbidden == null) buffer.forEachByte(start, length, this)
    }

    /** Prepares for the next head. */
    fun reset() {
        afterCarriageReturn = false
        forbidden = null
    }

    override fun process(value: Byte): Boolean {
        val allowed = if (afterCarriageReturn) value == LINE_FEED else isAllowed(value)
        afterCarriageReturn = value == CARRIAGE_RETURN
        if (!allowed) forbidden = value
        return allowed
    }

    private fun isAllowed(value: Byte) = when (value) {
        TAB, CARRIAGE_RETURN -> true
        DELETE -> false
        // Bytes beyond ASCII are negative.
        else -> value !in 0 until FIRST_PRINTABLE
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val TAB = '\t'.code.toByte()
        const val DELETE: Byte = 0x7f
        const val FIRST_PRINTABLE = 0x20
    }
}
