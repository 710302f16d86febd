package io.apricotslip.spec

/**
 * A TLA+ specification with the constants that bound its state space. VMs are named by single letters, so `"abc"`
 * stands for a list of three VMs.
 */
internal sealed class Model {
    /** Name of the generated module and of the run's directory. */
    abstract val name: String

    /** The invariant that TLC checks. */
    abstract val invariant: String

    /** The specification that the generated module extends. */
    protected abstract val module: String

    /** Constants of the specification, as TLA+ expressions by name. */
    protected abstract val constants: Map<String, String>

    /** The generated module, which defines a value for each constant. */
    fun tla(): String = constants.entries.joinToString(
        "\n",
        "---- MODULE $name ----\nEXTENDS $module\n",
        "\n====\n",
    ) { (constant, expression) ->
        "MC$constant == $expression"
    }

    /** The TLC configuration, which assigns the defined values to the constants. */
    fun cfg(): String = constants.keys.joinToString(
        "\n",
        "SPECIFICATION Spec\nINVARIANT $invariant\nCHECK_DEADLOCK FALSE\nCONSTANTS\n",
    ) {
        "$it <- MC$it"
    }

    /**
     * Bounds of Evict.tla. [owners] and [standbys] name one VM for each of [lists]. [crashes] names a VM once for each
     * crash that it may have, and [orders] once for each numbered consent request that it may send.
     */
    data class Evict(
        override val name: String,
        val lists: List<String>,
        val owners: String,
        val standbys: String,
        val starters: String = "abc",
        val crashes: String = "",
        val orders: String = "",
        val maxLostOrders: Int = 0,
        val fenceChecked: Boolean = true,
        val fenceTrusted: Boolean = fenceChecked,
        val ordersLinger: Boolean = false,
        val disabledRules: String = "",
        override val invariant: String = "NoEvictUnderUse",
    ) : Model() {
        override val module = "Evict"
        override val constants =
            membership(lists, crashes, disabledRules) +
                mapOf(
                    "Owner" to sequence(owners.map { "\"$it\"" }),
                    "Standby" to sequence(standbys.map { "\"$it\"" }),
                    "Starters" to vmSet(starters),
                    "MaxOrders" to countsByVm(lists, orders),
                    "MaxLost" to "$maxLostOrders",
                    "FenceChecked" to boolean(fenceChecked),
                    "FenceTrusted" to boolean(fenceTrusted),
                    "OrdersLinger" to boolean(ordersLinger),
                )
    }

    /** Bounds of Reservations.tla. [homes] names one VM for each of [lists]; [crashes] as for [Evict]. */
    data class Reservations(
        override val name: String,
        val lists: List<String>,
        val homes: String,
        val crashes: String = "",
        val disabledRules: String = "",
        override val invariant: String = "AtMostOnce",
    ) : Model() {
        override val module = "Reservations"
        override val constants =
            membership(lists, crashes, disabledRules) + ("Home" to sequence(homes.map { "\"$it\"" }))
    }

    /** Bounds of Manifest.tla. [validRevisions] is a TLA+ set; [maxCrashes] counts all VMs together. */
    data class Manifest(
        override val name: String,
        val maxRevision: Int = 3,
        val validRevisions: String = "{1, 3}",
        val maxCrashes: Int = 2,
        val disabledRules: String = "",
        override val invariant: String = "NeverReverts",
    ) : Model() {
        override val module = "Manifest"
        override val constants =
            mapOf(
                "VMs" to vmSet("abc"),
                "Top" to "$maxRevision",
                "Valid" to validRevisions,
                "MaxCrashes" to "$maxCrashes",
                "Off" to ruleSet(disabledRules),
            )
    }

    protected companion object {
        /** Constants of Membership.tla, which Evict.tla and Reservations.tla extend. */
        fun membership(lists: List<String>, crashes: String, disabledRules: String): Map<String, String> = mapOf(
            "VMs" to vmSet(lists.joinToString("")),
            "Members" to sequence(lists.map { vmSet(it) }),
            "MaxCrashes" to countsByVm(lists, crashes),
            "Off" to ruleSet(disabledRules),
        )

        /** A TLA+ record that maps each VM of [lists] to how often it stands in [occurrences]. */
        fun countsByVm(lists: List<String>, occurrences: String): String =
            distinctVms(lists.joinToString("")).joinToString(", ", "[", "]") { vm ->
                "$vm |-> ${occurrences.count { it == vm }}"
            }

        fun vmSet(vms: String): String = distinctVms(vms).joinToString(", ", "{", "}") { "\"$it\"" }

        fun ruleSet(names: String): String =
            names.split(" ").filter { it.isNotEmpty() }.joinToString(", ", "{", "}") { "\"$it\"" }

        fun sequence(items: List<String>): String = items.joinToString(", ", "<<", ">>")

        fun boolean(value: Boolean): String = if (value) "TRUE" else "FALSE"

        private fun distinctVms(vms: String): List<Char> = vms.toList().distinct().sorted()
    }
}
