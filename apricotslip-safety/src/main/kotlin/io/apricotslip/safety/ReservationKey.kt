package io.apricotslip.safety

import java.util.UUID

/** An idempotency key: a UUID version 7, which holds the wall-clock time of its minting. */
internal data class ReservationKey(val uuid: UUID) : Comparable<ReservationKey> {
    /** Milliseconds since 1970. */
    val mintedMillis: Long get() = uuid.mostSignificantBits ushr TIME_SHIFT

    override fun compareTo(other: ReservationKey): Int = compareValuesBy(this, other, { it.mintedMillis }, { it.uuid })

    companion object {
        private const val TIME_SHIFT = 16
        private const val TIME_ORDERED = 7
        private const val STANDARD_VARIANT = 2
        private val shape = Regex("[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}")

        /** The key in [text], or null when it is not a UUID version 7. */
        fun parse(text: String): ReservationKey? {
            if (!shape.matches(text)) return null
            val uuid = UUID.fromString(text)
            val valid = uuid.version() == TIME_ORDERED && uuid.variant() == STANDARD_VARIANT
            return if (valid) ReservationKey(uuid) else null
        }
    }
}
