package io.apricotslip.api.manifest

/** Validates IP addresses. Host names are rejected, because nodes connect by IP address. */
public object IpAddress {
    private const val MAX_OCTET = 255
    private val v4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
    private val v6 = Regex("[0-9A-Fa-f:]*:[0-9A-Fa-f:]*:[0-9A-Fa-f:.]*")

    /** Whether [text] is an IPv4 or IPv6 address. */
    public fun isValid(text: String): Boolean {
        val octets = v4.matchEntire(text)?.groupValues?.drop(1)
        return octets?.all { it.toInt() <= MAX_OCTET } ?: v6.matches(text)
    }
}
