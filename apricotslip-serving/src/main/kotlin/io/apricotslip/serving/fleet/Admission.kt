package io.apricotslip.serving.fleet

/**
 * Whether a backend server may be sent a request of this node, by what the server says of itself. It is decided when a
 * server is selected, and again right before the request is sent.
 */
public sealed class Admission {
    /** The server takes requests. */
    public data object Open : Admission()

    /** The store removed the server, or another incarnation has replaced it. */
    public data object Gone : Admission()

    /** The server has announced that it leaves, in its entry or in an answer. */
    public data object Leaving : Admission()

    /** The server turned a request of this node away and wants no other one for [millis]. */
    public data class Paused(public val millis: Long) : Admission()

    /** What decides, in the order in which it does. */
    internal companion object {
        fun of(current: Boolean, entryLeaving: Boolean, announcements: ServerAnnouncements, now: Long): Admission =
            when {
                !current -> Gone
                entryLeaving || announcements.leavingSince != null -> Leaving
                announcements.pausedUntil > now -> Paused(announcements.pausedUntil - now)
                else -> Open
            }
    }
}
