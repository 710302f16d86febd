package io.apricotslip.rules.limits

/** Requests under way at one entry VM: of one customer, and of each class. */
public data class AdmissionOptions(
    public val perCustomer: Int = 256,
    public val interactive: Int = 2_048,
    public val plan: Int = 1_024,
    public val deferrable: Int = 4_096,
)
