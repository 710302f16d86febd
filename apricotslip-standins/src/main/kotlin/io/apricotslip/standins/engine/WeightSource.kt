package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.standins.http.httpThreads
import io.apricotslip.standins.http.wireJson
import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.LoadSettings
import io.apricotslip.standins.store.LoadResult
import io.apricotslip.standins.store.StoreLoadRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.netty.ByteBufMono
import reactor.netty.http.client.HttpClient
import reactor.netty.resources.ConnectionProvider
import java.time.Duration

private const val HTTP_OK = 200

/** Source from which an engine fetches adapter weights. */
internal sealed class WeightSource {
    /** Fetches the weights of [adapter]. Failures are emitted as [LoadResult.FAILED], never as an error signal. */
    abstract fun fetch(adapter: AdapterVersion): Mono<LoadResult>

    /** Simulated source: each fetch succeeds after [time]. */
    class FixedTime(private val time: Duration, private val loop: EventLoop) : WeightSource() {
        override fun fetch(adapter: AdapterVersion): Mono<LoadResult> = Mono.create { sink ->
            loop.execute { loop.schedule(time) { sink.success(LoadResult.LOADED) } }
        }
    }

    /** Fetches from the weight store over HTTP. */
    class Store(private val engine: String, private val settings: LoadSettings) : WeightSource() {
        private val address = requireNotNull(settings.store)
        private val client = HttpClient
            .create(ConnectionProvider.create("store-$engine", MAX_CONNECTIONS))
            .runOn(httpThreads)
            .host(address.address)
            .port(address.port)
            .responseTimeout(Duration.ofMillis(settings.timeoutMillis))

        override fun fetch(adapter: AdapterVersion): Mono<LoadResult> {
            val request = StoreLoadRequest(engine, adapter.adapter.value, adapter.version.value)
            val body = wireJson.encodeToString(StoreLoadRequest.serializer(), request)
            return client
                .headers { it.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON) }
                .post()
                .uri("/v1/loads")
                .send(ByteBufMono.fromString(Mono.just(body)))
                .responseSingle { response, content ->
                    content.asString().defaultIfEmpty("").map { response.status().code() }
                }
                .map { status -> if (status == HTTP_OK) LoadResult.LOADED else LoadResult.FAILED }
                .doOnError { e -> logFailure(adapter, e) }
                .onErrorReturn(LoadResult.FAILED)
        }

        private fun logFailure(adapter: AdapterVersion, e: Throwable) {
            Logger.warn {
                "event=load_failed standin=$engine step=store peer=${address.address}:${address.port} " +
                    "adapter=$adapter reason=\"${e.message}\""
            }
        }

        private companion object {
            const val MAX_CONNECTIONS = 256
        }
    }

    companion object {
        /** Returns the source configured for the engine [id]: the weight store, or a fixed time without one. */
        fun of(id: String, settings: LoadSettings, loop: EventLoop): WeightSource =
            if (settings.store == null) FixedTime(Duration.ofMillis(settings.millis), loop) else Store(id, settings)
    }
}
