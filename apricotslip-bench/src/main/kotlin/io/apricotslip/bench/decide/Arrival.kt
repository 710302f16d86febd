package io.apricotslip.bench.decide

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VersionId
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.engine.WorkItem

/** One request of a scenario; [tokens] is the length of its answer, which no policy knows before it ends. */
internal class Arrival(val work: WorkItem, val tokens: Int, val entryVm: Int)

/** Creates the adapters and requests of a scenario. */
internal object Arrivals {
    fun adapter(number: Int): AdapterVersion = AdapterVersion(AdapterId("club-$number"), VersionId("v1"))

    @Suppress("LongParameterList")
    fun workItem(
        number: Int,
        adapter: Int,
        workClass: WorkClass,
        arrivedAt: Long,
        deadlineSeconds: Long,
        maxTokens: Int,
        prefixHash: Long,
    ): WorkItem = WorkItem(
        id = RequestId("r$number"),
        adapter = adapter(adapter),
        workClass = workClass,
        customer = CustomerId("club-$adapter"),
        arrivedAt = arrivedAt,
        deadlineAt = arrivedAt + seconds(deadlineSeconds),
        maxTokens = maxTokens,
        prefixHash = prefixHash,
    )
}
