package io.apricotslip.safety

/** What a VM may do with one engine under its tenured list. */
public sealed class Role {
    /** Queues, starts, loads and evicts. */
    public data object Owner : Role()

    /** Starts requests on resident adapters and loads into free slots while the owner is silent. */
    public data object Standby : Role()

    /** Starts nothing. */
    public data object None : Role()
}
