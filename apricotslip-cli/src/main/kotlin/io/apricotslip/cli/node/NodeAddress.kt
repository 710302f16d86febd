package io.apricotslip.cli.node

/** Address of the operators' port of a node. */
internal data class NodeAddress(val host: String, val port: Int) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    companion object {
        private val form = Regex("""(?:\[([0-9A-Fa-f:.]+)]|([^:\[\]\s]+)):(\d{1,5})""")
        private val ports = 1..65_535

        /** Parses `HOST:PORT` or `[IPV6]:PORT`; null when [text] is neither. */
        fun parse(text: String): NodeAddress? {
            val (v6, host, port) = form.matchEntire(text)?.destructured ?: return null
            return NodeAddress(v6.ifEmpty { host }, port.toInt()).takeIf { it.port in ports }
        }
    }
}
