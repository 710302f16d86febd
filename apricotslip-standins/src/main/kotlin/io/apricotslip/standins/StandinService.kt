package io.apricotslip.standins

import io.apricotslip.standins.http.Route
import io.apricotslip.standins.http.StandinServer

/** One stand-in: what it answers on its service port and on the port of its controls. */
internal interface StandinService {
    /** Its two ports. */
    val server: StandinServer

    /** Calls of the service that it stands for. */
    fun serviceRoutes(): List<Route>

    /** Controls for tests. */
    fun adminRoutes(): List<Route>
}
