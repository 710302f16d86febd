package io.apricotslip.cli.node

/** Address of a node's operators' port. */
internal data class NodeAddress(val host: String, val port: Int) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    companion object {
        private val format = Regex("""(?:\[([0-9A-Fa-f:.]+)]|([^:\[\]\s]+)):(\d{1,5})""")
        private val validPorts = 1..65_535

        /** Parses `HOST:PORT` or `[IPV6]:PORT`; returns null when [text] is neither or the port is out of range. */
        fun parse(text: String): NodeAddress? {
            val (ipv6, host, port) = format.matchEntire(text)?.destructured ?: return null
            return NodeAddress(ipv6.ifEmpty { host }, port.toInt()).takeIf { it.port in validPorts }
        }
    }
}
