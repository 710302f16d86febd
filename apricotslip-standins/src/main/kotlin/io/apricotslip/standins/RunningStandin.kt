package io.apricotslip.standins

/**
 * A stand-in that listens.
 *
 * @property id name from its settings.
 * @property port TCP port of the service.
 * @property adminPort TCP port of its controls.
 */
public class RunningStandin internal constructor(public val id: String, private val service: StandinService) {
    public val port: Int get() = service.server.port

    public val adminPort: Int get() = service.server.adminPort

    /** Stops listening. */
    public fun stop() {
        service.server.stop()
    }
}
