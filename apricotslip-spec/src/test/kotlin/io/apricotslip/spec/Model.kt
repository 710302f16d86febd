package io.apricotslip.spec

/** A specification with its bounds. VMs are single letters; `"abc"` is the list of three of them. */
internal sealed class Model {
    abstract val name: String
    abstract val invariant: String
    protected abstract val module: String

    /** Constants as TLA+ expressions. */
    protected abstract val constants: Map<String, String>

    fun tla(): String =
        constants.entries.joinToString("\n", "---- MODULE $name ----\nEXTENDS $module\n", "\n====\n") { (k, v) ->
            "MC$k == $v"
        }

    fun cfg(): String = constants.keys.joinToString(
        "\n",
        "SPECIFICATION Spec\nINVARIANT $invariant\nCHECK_DEADLOCK FALSE\nCONSTANTS\n",
    ) {
        "$it <- MC$it"
    }

    /** Evict.tla. [crashes] and [orders] name a VM once for each that it may have. */
    data class Evict(
        override val name: String,
        val lists: List<String>,
        val owners: String,
        val standbys: String,
        val starters: String = "abc",
        val crashes: String = "",
        val orders: String = "",
        val lost: Int = 0,
        val fenceChecked: Boolean = true,
        val fenceTrusted: Boolean = fenceChecked,
        val ordersLinger: Boolean = false,
        val off: String = "",
        override val invariant: String = "NoEvictUnderUse",
    ) : Model() {
        override val module = "Evict"
        override val constants =
            membership(lists, crashes, off) +
                mapOf(
                    "Owner" to sequence(owners.map { "\"$it\"" }),
                    "Standby" to sequence(standbys.map { "\"$it\"" }),
                    "Starters" to set(starters),
                    "MaxOrders" to counts(lists, orders),
                    "MaxLost" to "$lost",
                    "FenceChecked" to bool(fenceChecked),
                    "FenceTrusted" to bool(fenceTrusted),
                    "OrdersLinger" to bool(ordersLinger),
                )
    }

    /** Reservations.tla. */
    data class Reservations(
        override val name: String,
        val lists: List<String>,
        val homes: String,
        val crashes: String = "",
        val off: String = "",
        override val invariant: String = "AtMostOnce",
    ) : Model() {
        override val module = "Reservations"
        override val constants = membership(lists, crashes, off) + ("Home" to sequence(homes.map { "\"$it\"" }))
    }

    /** Manifest.tla. */
    data class Manifest(
        override val name: String,
        val top: Int = 3,
        val valid: String = "{1, 3}",
        val crashes: Int = 2,
        val off: String = "",
        override val invariant: String = "NeverReverts",
    ) : Model() {
        override val module = "Manifest"
        override val constants =
            mapOf(
                "VMs" to set("abc"),
                "Top" to "$top",
                "Valid" to valid,
                "MaxCrashes" to "$crashes",
                "Off" to rules(off),
            )
    }

    protected companion object {
        fun membership(lists: List<String>, crashes: String, off: String): Map<String, String> = mapOf(
            "VMs" to set(lists.joinToString("")),
            "Members" to sequence(lists.map { set(it) }),
            "MaxCrashes" to counts(lists, crashes),
            "Off" to rules(off),
        )

        fun counts(lists: List<String>, named: String): String =
            letters(lists.joinToString("")).joinToString(", ", "[", "]") { vm -> "$vm |-> ${named.count { it == vm }}" }

        fun set(vms: String): String = letters(vms).joinToString(", ", "{", "}") { "\"$it\"" }

        fun rules(names: String): String =
            names.split(" ").filter { it.isNotEmpty() }.joinToString(", ", "{", "}") { "\"$it\"" }

        fun sequence(items: List<String>): String = items.joinToString(", ", "<<", ">>")

        fun bool(value: Boolean): String = if (value) "TRUE" else "FALSE"

        private fun letters(vms: String): List<Char> = vms.toList().distinct().sorted()
    }
}
