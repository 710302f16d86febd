package io.apricotslip.standins.vms

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.ListRevision
import io.apricotslip.standins.StandinService
import io.apricotslip.standins.http.Answer
import io.apricotslip.standins.http.Call
import io.apricotslip.standins.http.Route
import io.apricotslip.standins.http.StandinServer
import io.apricotslip.standins.http.routes
import io.apricotslip.standins.http.wireJson
import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.platform.PlatformGate
import io.apricotslip.standins.platform.Publication
import io.apricotslip.standins.platform.PublishedValue
import io.apricotslip.standins.platform.ReadResult
import io.apricotslip.standins.platform.toAnswer
import io.apricotslip.standins.settings.VmsSettings
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import reactor.core.publisher.Mono
import java.time.Duration

/** Response to a posted list: its revision. */
@Serializable
internal data class PostedList(val revision: Long)

/** The service that publishes the list of VMs. A posted list becomes visible to readers after a lag. */
internal class VmsStandin(private val settings: VmsSettings, private val loop: EventLoop) : StandinService {
    override val server: StandinServer = StandinServer(settings)
    private val gate = PlatformGate(server, settings.whenDown)
    private val lag = Duration.ofMillis(settings.lagMillis)
    private val publication = Publication(loop)
    private var revision = settings.revision

    init {
        publication.publish(value(settings.vms))
    }

    override fun serviceRoutes(): List<Route> = routes {
        get("/v1/vms") { call -> gate.guard { read(call) } }
    }

    override fun adminRoutes(): List<Route> = routes {
        post("/admin/vms", ::post)
        post("/admin/mode") { call -> gate.change(call) { stale -> loop.execute { publication.setStale(stale) } } }
    }

    private fun read(call: Call): Mono<Answer> {
        val after = call.number("after")
        val wait = minOf(call.millis("waitMillis"), Duration.ofMillis(settings.maxWaitMillis))
        val result = if (after == null) loop.call<ReadResult>(publication::read) else publication.watch(after, wait)
        return result.map(ReadResult::toAnswer)
    }

    private fun post(call: Call): Mono<Answer> {
        val vms = call.json(ListSerializer(Vm.serializer()))
        return loop.call {
            revision++
            publication.publish(value(vms), lag)
            Answer.ok(PostedList.serializer(), PostedList(revision))
        }
    }

    private fun value(vms: List<Vm>): PublishedValue {
        val list = VmList(ListRevision(revision), vms)
        return PublishedValue(revision, wireJson.encodeToString(VmList.serializer(), list))
    }
}
