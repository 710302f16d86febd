package io.apricotslip.cli.output

import kotlinx.serialization.Serializable

/** Why a node gave no usable answer. */
@Serializable
internal data class ErrorReport(val step: String, val peer: String, val reason: String)

/** What one node said: [answer] or [error]. */
@Serializable
internal data class NodeReport<T>(val node: String, val answer: T? = null, val error: ErrorReport? = null)

/** What all nodes said; [agreed] is given where the answers should be alike. */
@Serializable
internal data class NodesReport<T>(val nodes: List<NodeReport<T>>, val agreed: Boolean? = null)

/** One fault of a file. */
@Serializable
internal data class FaultReport(val path: String, val line: Int?, val column: Int?, val reason: String)

/** Result of checking a file. */
@Serializable
internal data class CheckReport(val file: String, val valid: Boolean, val faults: List<FaultReport>)

/** Version of the client. */
@Serializable
internal data class VersionReport(val version: String)
