package io.apricotslip.core.owner

import io.apricotslip.backends.engine.EngineEvent
import io.apricotslip.backends.engine.EngineException
import org.reactivestreams.Subscription
import reactor.core.publisher.BaseSubscriber

/** Receives the events of an engine's stream, on the node's event loop. */
internal interface EngineStreamListener {
    fun onEvent(event: EngineEvent)

    fun onFailure(error: Throwable)

    fun onClosed()
}

/** Subscriber that limits how far the engine may run ahead of the caller to [window] tokens. */
internal class EngineStream(private val window: Int, private val listener: EngineStreamListener) :
    BaseSubscriber<EngineEvent>() {
    override fun hookOnSubscribe(subscription: Subscription) {
        request(window.toLong() + 1)
    }

    override fun hookOnNext(value: EngineEvent): Unit = listener.onEvent(value)

    override fun hookOnError(throwable: Throwable): Unit = listener.onFailure(throwable)

    override fun hookOnComplete(): Unit = listener.onClosed()

    /** Requests [tokens] more tokens from the engine. */
    fun requestMore(tokens: Int) {
        if (tokens > 0) request(tokens.toLong())
    }
}

/** Failure reason as named by the engine, such as `adapter_not_resident`; `lost` if the engine gave none. */
internal fun Throwable.engineReason(): String = (this as? EngineException)?.reason ?: "lost"
