package io.apricotslip.standins.manifest

/** Deployment profiles whose settings are bundled as resources. */
public enum class Deployment(public val label: String) {
    /** Club tandem hire: 6 engines, 3 replicas of the booking service. */
    TANDEMRATAS("tandemratas"),

    /** Skating co-operative: 13 engines, 3 replicas of the booking service. */
    LLYN("llyn"),
}
