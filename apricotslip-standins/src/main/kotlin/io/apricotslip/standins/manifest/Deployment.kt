package io.apricotslip.standins.manifest

/** The deployments with ready settings. */
public enum class Deployment(public val label: String) {
    /** Club tandem hire: 6 engines, 3 replicas of the booking service. */
    TANDEMRATAS("tandemratas"),

    /** Skating co-operative: 13 engines, 3 replicas of the booking service. */
    LLYN("llyn"),
}
