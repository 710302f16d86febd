package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf

/** Looks for the start of a response in bytes that arrive in pieces. */
internal class ResponseStartSearch {
    private var matched = 0

    /** Whether [bytes], with what was searched before, contain the start of a response. Leaves [bytes] unread. */
    fun isFoundIn(bytes: ByteBuf): Boolean = bytes.forEachByte(::isNotYetFound) >= 0

    private fun isNotYetFound(byte: Byte): Boolean {
        matched = when (byte) {
            START[matched] -> matched + 1
            START[0] -> 1
            else -> 0
        }
        return matched < START.size
    }

    private companion object {
        val START = "HTTP/1.".toByteArray()
    }
}
