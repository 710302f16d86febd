package io.apricotslip.rules.limits

/**
 * Maximum numbers of requests in progress at one entry VM.
 *
 * @property perCustomer requests of one customer, over all classes.
 * @property interactive interactive requests of all customers.
 * @property plan plan requests of all customers.
 * @property deferrable deferrable requests of all customers.
 */
public data class AdmissionOptions(
    public val perCustomer: Int = 256,
    public val interactive: Int = 2_048,
    public val plan: Int = 1_024,
    public val deferrable: Int = 4_096,
)
