package io.apricotslip.standins

import io.apricotslip.standins.http.Route
import io.apricotslip.standins.http.StandinServer

/** One stand-in: the routes of its service port and of its admin port. */
internal interface StandinService {
    /** HTTP server of the service port and the admin port. */
    val server: StandinServer

    /** Routes of the service that the stand-in simulates. */
    fun serviceRoutes(): List<Route>

    /** Admin routes through which tests control the stand-in. */
    fun adminRoutes(): List<Route>
}
