package io.apricotslip.cli.node

import io.apricotslip.api.operators.DrainAnswer
import io.apricotslip.api.operators.ManifestInForce
import io.apricotslip.api.operators.NodeStatus
import io.apricotslip.api.operators.RefusedManifest
import io.apricotslip.api.operators.RunningRequest
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer

/** A call to the operators' port, as listed in docs/INTERFACES.md. [step] identifies the call in error messages. */
internal sealed class OperatorCall<T>(
    val step: String,
    val method: HttpMethod,
    val path: String,
    val serializer: KSerializer<T>,
) {
    data object Status : OperatorCall<NodeStatus>("status", HttpMethod.GET, "/v1/status", NodeStatus.serializer())

    data object InForce :
        OperatorCall<ManifestInForce>("in-force", HttpMethod.GET, "/v1/manifest", ManifestInForce.serializer())

    data object Refused : OperatorCall<List<RefusedManifest>>(
        "refused",
        HttpMethod.GET,
        "/v1/refused",
        ListSerializer(RefusedManifest.serializer()),
    )

    data object Running : OperatorCall<List<RunningRequest>>(
        "running",
        HttpMethod.GET,
        "/v1/running",
        ListSerializer(RunningRequest.serializer()),
    )

    data object Drain : OperatorCall<DrainAnswer>("drain", HttpMethod.POST, "/v1/drain", DrainAnswer.serializer())
}
