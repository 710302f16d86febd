package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerHandler
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit

class EarlyRequestsTest {
    private class Recorder : CallerHandler {
        val taken = ArrayList<String>()
        val left = ArrayList<String>()

        override fun handle(request: CallerRequest, response: CallerResponse): CallerListener {
            taken.add(request.uri)
            return object : CallerListener {
                override fun onCallerDisconnected() {
                    left.add(request.uri)
                }

                override fun onWritabilityChanged(writable: Boolean) = Unit
            }
        }
    }

    private val channel = EmbeddedChannel().apply { freezeTime() }
    private val served = Recorder()
    private val refused = Recorder()
    private val early = EarlyRequests(channel.eventLoop(), served, refused)

    private fun keep(uri: String): CallerListener {
        val request = CallerRequest(HttpMethod.GET, uri, DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, arrivedAt = 0)
        return early.keep(request, CallerResponse(channel, { true }, {}))
    }

    private fun pass(millis: Long) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    @Test
    fun `requests that waited for the start are served in their order, and never refused later`() {
        listOf("/a", "/b", "/c").forEach(::keep)
        pass(millis = 800)
        early.release()
        pass(millis = 10_000)
        expectThat(served.taken).containsExactly("/a", "/b", "/c")
        expectThat(refused.taken).isEmpty()
    }

    @Test
    fun `a request that waited too long is refused once, and not served afterwards`() {
        keep("/a")
        pass(millis = 2_000)
        early.release()
        expectThat(refused.taken).containsExactly("/a")
        expectThat(served.taken).isEmpty()
    }

    @Test
    fun `a caller that left is neither served nor refused`() {
        keep("/a").onCallerDisconnected()
        early.release()
        pass(millis = 2_000)
        expectThat(served.taken + refused.taken).isEmpty()
    }

    @Test
    fun `the server of a request hears that its caller left after the start`() {
        val watcher = keep("/a")
        early.release()
        watcher.onCallerDisconnected()
        expectThat(served.left).containsExactly("/a")
    }

    @Test
    fun `requests beyond the room are refused at once`() {
        repeat(600) { keep("/$it") }
        expectThat(refused.taken.size).isEqualTo(100)
    }
}
