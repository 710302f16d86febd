package io.apricotslip.bench.decide

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VersionId
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.engine.WorkItem

/** One request of a scenario; [tokens] is the length of its answer, which nobody knows before its end. */
internal class Arrival(val work: WorkItem, val tokens: Int, val entry: Int)

/** Makes adapters and requests of a scenario. */
internal object Arrivals {
    fun adapter(number: Int): AdapterVersion = AdapterVersion(AdapterId("club-$number"), VersionId("v1"))

    @Suppress("LongParameterList")
    fun work(
        number: Int,
        adapter: Int,
        workClass: WorkClass,
        at: Long,
        deadlineSeconds: Long,
        maxTokens: Int,
        prefix: Long,
    ): WorkItem = WorkItem(
        id = RequestId("r$number"),
        adapter = adapter(adapter),
        workClass = workClass,
        customer = CustomerId("club-$adapter"),
        arrivedAt = at,
        deadlineAt = at + seconds(deadlineSeconds),
        maxTokens = maxTokens,
        prefixHash = prefix,
    )
}
