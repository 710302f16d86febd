package io.apricotslip.e2e.caller

import java.util.Random
import java.util.UUID

/** Generates idempotency keys as version 7 UUIDs, which embed the Unix time in milliseconds. */
internal class IdempotencyKeys(private val random: Random) {
    fun next(epochMillis: Long = System.currentTimeMillis()): String {
        val mostSignificantBits =
            (epochMillis shl TIME_SHIFT_BITS) or VERSION_7_BITS or random.nextInt(1 shl RANDOM_BITS).toLong()
        return UUID(mostSignificantBits, VARIANT_BITS or (random.nextLong() ushr 2)).toString()
    }

    private companion object {
        const val TIME_SHIFT_BITS = 16
        const val RANDOM_BITS = 12
        const val VERSION_7_BITS = 0x7000L
        const val VARIANT_BITS = Long.MIN_VALUE
    }
}
