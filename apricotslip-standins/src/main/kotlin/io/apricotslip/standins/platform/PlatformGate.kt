package io.apricotslip.standins.platform

import io.apricotslip.standins.http.Answer
import io.apricotslip.standins.http.Call
import io.apricotslip.standins.http.ErrorBody
import io.apricotslip.standins.http.StandinServer
import io.apricotslip.standins.http.badRequest
import io.netty.handler.codec.http.HttpResponseStatus
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers

/** Applies the mode of a platform service to its port. */
internal class PlatformGate(private val server: StandinServer, private val whenDown: DownBehaviour) {
    @Volatile
    private var mode = PlatformMode.UP

    /** Reads the mode from an admin call and applies it; [stale] hears whether the service is stale now. */
    fun change(call: Call, stale: (Boolean) -> Unit): Mono<Answer> {
        val wanted = PlatformMode.of(call.query("mode")) ?: throw badRequest("mode must be up, down or stale")
        return Mono
            .fromCallable { apply(wanted, stale) }
            .subscribeOn(Schedulers.boundedElastic())
            .thenReturn(Answer.Done)
    }

    /** [answer] unless the service is down. */
    fun guard(answer: () -> Mono<Answer>): Mono<Answer> {
        if (mode != PlatformMode.DOWN) return answer()
        return Mono.just(Answer.error(HttpResponseStatus.SERVICE_UNAVAILABLE, ErrorBody("down")))
    }

    private fun apply(wanted: PlatformMode, stale: (Boolean) -> Unit) {
        mode = wanted
        stale(wanted == PlatformMode.STALE)
        if (whenDown == DownBehaviour.UNAVAILABLE) return
        if (wanted == PlatformMode.DOWN) server.stopListening() else server.listenAgain()
    }
}

/** The answer over HTTP to a read or a watch. */
internal fun ReadResult.toAnswer(): Answer = when (this) {
    is ReadResult.Found -> Answer.Text(HttpResponseStatus.OK, value.text, value.revision)
    is ReadResult.Unchanged -> Answer.Empty(HttpResponseStatus.NOT_MODIFIED)
    is ReadResult.Absent -> Answer.error(HttpResponseStatus.NOT_FOUND, ErrorBody("unknown_key"))
}
