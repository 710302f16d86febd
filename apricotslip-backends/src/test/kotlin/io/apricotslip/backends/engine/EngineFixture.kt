package io.apricotslip.backends.engine

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VersionId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.manifest.EngineEntry

internal val request = RequestId("r1")
internal val adapter = AdapterVersion(AdapterId("club"), VersionId("3"))

internal fun engineRequest() = EngineRequest(request, adapter, "ride plan", maxTokens = 8, priority = 0, "00-trace")

internal fun client(port: Int, options: EngineClientOptions = EngineClientOptions()) = HttpEngineClient(
    EngineEntry(BackendServerId("e1"), ModelId("m"), ZoneId("z"), "127.0.0.1", port, slots = 8, batch = 8),
    options,
)

internal fun token(offset: Int, id: String = "r1", version: String = "3") =
    """{"id":"$id","offset":$offset,"text":"t$offset ","adapter":"club","version":"$version"}"""

internal fun end(total: Int) = """{"id":"r1","finish":"stop","total":$total,"adapter":"club","version":"3"}"""
