package io.apricotslip.standins

/**
 * A started stand-in, listening on its service port and its admin port.
 *
 * @property id name of the stand-in in its settings.
 * @property port TCP port of the service.
 * @property adminPort TCP port of the admin endpoints.
 */
public class RunningStandin internal constructor(public val id: String, private val service: StandinService) {
    public val port: Int get() = service.server.port

    public val adminPort: Int get() = service.server.adminPort

    /** Closes the open connections and stops listening on both ports. */
    public fun stop() {
        service.server.stop()
    }
}
