package io.apricotslip.standins

/** Kind of stand-in that a settings file is for. */
public enum class StandinKind(public val label: String) {
    /** One engine. */
    ENGINE("engine"),

    /** A list of engines in one process. */
    ENGINES("engines"),

    /** The weight store. */
    STORE("store"),

    /** The configuration service. */
    CONFIG("config"),

    /** The list of VMs. */
    VMS("vms"),

    /** One replica of the booking service. */
    BOOKING("booking"),

    /** A list of replicas of the booking service in one process. */
    BOOKINGS("bookings"),
}
