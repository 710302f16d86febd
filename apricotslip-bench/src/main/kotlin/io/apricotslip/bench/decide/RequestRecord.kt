package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass

/** How a request of a run ended. */
internal enum class Ending { OPEN, COMPLETED, REFUSED }

/** Outcome of one request. Times are nanoseconds of virtual time. */
internal class RequestRecord(val workClass: WorkClass, val arrivedAt: Long) {
    var stall: Long = 0
    var startedAt: Long = Long.MAX_VALUE
    var endedAt: Long = Long.MAX_VALUE
    var ending: Ending = Ending.OPEN
    var tokens: Int = 0
}
