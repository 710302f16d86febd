package io.apricotslip.standins.platform

import io.apricotslip.standins.http.Answer
import io.apricotslip.standins.http.Call
import io.apricotslip.standins.http.ErrorBody
import io.apricotslip.standins.http.StandinServer
import io.apricotslip.standins.http.badRequest
import io.netty.handler.codec.http.HttpResponseStatus
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers

/** Applies the current [PlatformMode] of a platform service to its calls and its service port. */
internal class PlatformGate(private val server: StandinServer, private val whenDown: DownBehaviour) {
    @Volatile
    private var mode = PlatformMode.UP

    /** Applies the mode given in an admin call; [setStale] receives whether the service is now stale. */
    fun change(call: Call, setStale: (Boolean) -> Unit): Mono<Answer> {
        val newMode = PlatformMode.of(call.query("mode")) ?: throw badRequest("mode must be up, down or stale")
        return Mono
            .fromCallable { apply(newMode, setStale) }
            .subscribeOn(Schedulers.boundedElastic())
            .thenReturn(Answer.Done)
    }

    /** Returns [answer], or a 503 while the service is down. */
    fun guard(answer: () -> Mono<Answer>): Mono<Answer> {
        if (mode != PlatformMode.DOWN) return answer()
        return Mono.just(Answer.error(HttpResponseStatus.SERVICE_UNAVAILABLE, ErrorBody("down")))
    }

    private fun apply(newMode: PlatformMode, setStale: (Boolean) -> Unit) {
        mode = newMode
        setStale(newMode == PlatformMode.STALE)
        if (whenDown == DownBehaviour.UNAVAILABLE) return
        if (newMode == PlatformMode.DOWN) server.stopListening() else server.resumeListening()
    }
}

/** HTTP response for the result of a read or a watch. */
internal fun ReadResult.toAnswer(): Answer = when (this) {
    is ReadResult.Found -> Answer.Text(HttpResponseStatus.OK, value.text, value.revision)
    is ReadResult.Unchanged -> Answer.Empty(HttpResponseStatus.NOT_MODIFIED)
    is ReadResult.Absent -> Answer.error(HttpResponseStatus.NOT_FOUND, ErrorBody("unknown_key"))
}
