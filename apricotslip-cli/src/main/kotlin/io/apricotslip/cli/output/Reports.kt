package io.apricotslip.cli.output

import kotlinx.serialization.Serializable

/** Why a node gave no usable answer. [peer] is its address. */
@Serializable
internal data class ErrorReport(val step: String, val peer: String, val reason: String)

/** Result for one node: either [answer] or [error] is set. */
@Serializable
internal data class NodeReport<T>(val node: String, val answer: T? = null, val error: ErrorReport? = null)

/** Results of all nodes. [agreed] is set only for commands where all nodes should give the same answer. */
@Serializable
internal data class NodesReport<T>(val nodes: List<NodeReport<T>>, val agreed: Boolean? = null)

/** One fault in a checked file. [line] and [column] are null when its position is unknown. */
@Serializable
internal data class FaultReport(val path: String, val line: Int?, val column: Int?, val reason: String)

/** Result of checking a file. */
@Serializable
internal data class CheckReport(val file: String, val valid: Boolean, val faults: List<FaultReport>)

/** Version of the operator client. */
@Serializable
internal data class VersionReport(val version: String)
