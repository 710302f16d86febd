package io.apricotslip.api.manifest

/** Checks IP numbers; names are not accepted, since nodes talk by IP number. */
public object IpAddress {
    private const val MAX_OCTET = 255
    private val v4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
    private val v6 = Regex("[0-9A-Fa-f:]*:[0-9A-Fa-f:]*:[0-9A-Fa-f:.]*")

    /** Whether [text] is an IPv4 or IPv6 number. */
    public fun isValid(text: String): Boolean {
        val octets = v4.matchEntire(text)?.groupValues?.drop(1)
        return octets?.all { it.toInt() <= MAX_OCTET } ?: v6.matches(text)
    }
}
