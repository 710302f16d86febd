package io.apricotslip.api.operators

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.work.WorkClass
import kotlinx.serialization.Serializable

/** Answer of `GET /v1/manifest` on the operators' port. [revision] is null before a manifest is in force. */
@Serializable
public data class ManifestInForce(
    public val vm: VmId,
    public val revision: ManifestRevision?,
    public val source: String?,
    public val inForceMillis: Long,
    public val models: Int,
    public val adapters: Int,
    public val engines: Int,
    public val services: Int,
)

/** One reason why a manifest was rejected, with its path in the file. */
@Serializable
public data class FaultAnswer(public val path: String, public val reason: String)

/** One rejected manifest in the answer of `GET /v1/refused`. */
@Serializable
public data class RefusedManifest(
    public val publishedRevision: Long,
    public val source: String,
    public val agoMillis: Long,
    public val faults: List<FaultAnswer>,
)

/** A peer in [NodeStatus]. */
@Serializable
public data class PeerStatus(
    public val vm: VmId,
    public val connected: Boolean,
    public val listRevision: ListRevision,
    public val manifestRevision: ManifestRevision,
)

/** An engine in [NodeStatus]: [role] is `owner`, `standby` or `none`. */
@Serializable
public data class EngineRole(
    public val server: BackendServerId,
    public val role: String,
    public val reachable: Boolean,
    public val status: EngineStatus? = null,
)

/** Answer of `GET /v1/status`. [notReady] lists the reasons why `/readyz` reports not ready; empty when ready. */
@Serializable
public data class NodeStatus(
    public val vm: VmId,
    public val zone: ZoneId,
    public val version: String,
    public val uptimeMillis: Long,
    public val notReady: List<String>,
    public val stopping: Boolean,
    public val leaseHeld: Boolean,
    public val listRevision: ListRevision,
    public val tenuredRevision: ListRevision,
    public val manifestRevision: ManifestRevision?,
    public val running: Int,
    public val peers: List<PeerStatus>,
    public val engines: List<EngineRole>,
)

/** One request in the answer of `GET /v1/running`. [step] is the label of the request's current step. */
@Serializable
public data class RunningRequest(
    public val request: RequestId,
    public val adapter: AdapterVersion,
    public val server: BackendServerId?,
    public val workClass: WorkClass,
    public val customer: CustomerId,
    public val step: String,
    public val tokens: Int,
    public val ageMillis: Long,
)

/** Answer of `POST /v1/drain`: the node accepts no new work and exits when its streams have ended. */
@Serializable
public data class DrainAnswer(public val vm: VmId, public val draining: Boolean, public val running: Int)
