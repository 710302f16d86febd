package io.apricotslip.standins

/** Kind of stand-in that a settings file describes. */
public enum class StandinKind(public val label: String) {
    /** One inference engine. */
    ENGINE("engine"),

    /** Several engines in one process. */
    ENGINES("engines"),

    /** The weight store. */
    STORE("store"),

    /** The configuration service. */
    CONFIG("config"),

    /** The service that publishes the list of VMs. */
    VMS("vms"),

    /** One replica of the booking service. */
    BOOKING("booking"),

    /** Several replicas of the booking service in one process. */
    BOOKINGS("bookings"),
}
