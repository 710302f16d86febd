package io.apricotslip.e2e.caller

import java.util.Random
import java.util.UUID

/** Makes idempotency keys: UUIDs of version 7. */
internal class IdempotencyKeys(private val random: Random) {
    fun next(atMillis: Long = System.currentTimeMillis()): String {
        val high = (atMillis shl TIME_SHIFT) or VERSION_7 or random.nextInt(1 shl RANDOM_BITS).toLong()
        return UUID(high, VARIANT or (random.nextLong() ushr 2)).toString()
    }

    private companion object {
        const val TIME_SHIFT = 16
        const val RANDOM_BITS = 12
        const val VERSION_7 = 0x7000L
        const val VARIANT = Long.MIN_VALUE
    }
}
