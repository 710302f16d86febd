package io.apricotslip.backends.engine

import io.apricotslip.backends.http.RawServer
import io.apricotslip.backends.http.RawServer.Companion.stream
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class HttpEngineClientTest {
    @Test
    fun `a whole stream arrives in order with the adapter named`() {
        val server = RawServer { socket, _ ->
            socket.stream(token(0), token(1), end(2), "[DONE]")
            socket.close()
        }
        val events = server.use { client(it.port).generate(engineRequest()).collectList().block() }
        expectThat(events.orEmpty()).containsExactly(
            EngineEvent.Token(0, "t0 ", adapter),
            EngineEvent.Token(1, "t1 ", adapter),
            EngineEvent.End(2, "stop", adapter),
        )
        expectThat(server.requests.single().headers["traceparent"]).isEqualTo("00-trace")
    }
}
