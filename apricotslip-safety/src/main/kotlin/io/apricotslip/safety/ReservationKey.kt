package io.apricotslip.safety

import java.util.UUID

/** An idempotency key: a UUID version 7, which contains the wall-clock time of its creation. */
internal data class ReservationKey(val uuid: UUID) : Comparable<ReservationKey> {
    /** When the key was created, in milliseconds since 1970. */
    val createdMillis: Long get() = uuid.mostSignificantBits ushr TIMESTAMP_SHIFT_BITS

    override fun compareTo(other: ReservationKey): Int = compareValuesBy(this, other, { it.createdMillis }, { it.uuid })

    companion object {
        private const val TIMESTAMP_SHIFT_BITS = 16
        private const val VERSION_7 = 7
        private const val RFC_VARIANT = 2
        private val pattern = Regex("[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}")

        /** Parses [text]; null if it is not a UUID version 7. */
        fun parse(text: String): ReservationKey? {
            if (!pattern.matches(text)) return null
            val uuid = UUID.fromString(text)
            val valid = uuid.version() == VERSION_7 && uuid.variant() == RFC_VARIANT
            return if (valid) ReservationKey(uuid) else null
        }
    }
}
