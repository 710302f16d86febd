package io.apricotslip.safety

/** What a VM may do with one engine under its tenured list. */
public sealed class Role {
    /** Queues and starts requests, loads and evicts adapters. */
    public data object Owner : Role()

    /** Starts requests on resident adapters and loads into free adapter slots while the owner is silent. */
    public data object Standby : Role()

    /** Starts no requests and gives no orders. */
    public data object None : Role()
}
