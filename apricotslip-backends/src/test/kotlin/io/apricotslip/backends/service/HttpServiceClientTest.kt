package io.apricotslip.backends.service

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.manifest.ReplicaEntry
import io.apricotslip.api.outcome.Outcome
import io.apricotslip.backends.http.RawServer
import io.apricotslip.backends.http.RawServer.Companion.answer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.get
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class HttpServiceClientTest {
    private fun replica(port: Int) = ReplicaEntry(BackendServerId("b1"), ZoneId("z"), "127.0.0.1", port)

    private fun reservation() =
        ServiceCall("POST", "/v1/reservations", "application/json", "{}".encodeToByteArray(), "key-1")

    @Test
    fun `an answered call is completed and its key passed on`() {
        val server = RawServer { socket, _ -> socket.answer(201, """{"reservation":"x"}""") }
        val outcome = server.use { HttpServiceClient().call(replica(it.port), reservation()).block() }
        expectThat(outcome).isA<Outcome.Completed<ServiceAnswer>>().get { value.status }.isEqualTo(201)
        expectThat(server.requests.single().headers).get("idempotency-key").isEqualTo("key-1")
    }
}
