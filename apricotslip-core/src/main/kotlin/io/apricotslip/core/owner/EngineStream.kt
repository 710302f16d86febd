package io.apricotslip.core.owner

import io.apricotslip.backends.engine.EngineEvent
import io.apricotslip.backends.engine.EngineException
import org.reactivestreams.Subscription
import reactor.core.publisher.BaseSubscriber

/** What becomes of an engine's stream; called on the loop. */
internal interface EngineStreamListener {
    fun onEvent(event: EngineEvent)

    fun onFailure(error: Throwable)

    fun onClosed()
}

/** Subscriber of an engine's stream with a window: the engine may run ahead of the caller by that many tokens. */
internal class EngineStream(private val window: Int, private val listener: EngineStreamListener) :
    BaseSubscriber<EngineEvent>() {
    override fun hookOnSubscribe(subscription: Subscription) {
        request(window.toLong() + 1)
    }

    override fun hookOnNext(value: EngineEvent): Unit = listener.onEvent(value)

    override fun hookOnError(throwable: Throwable): Unit = listener.onFailure(throwable)

    override fun hookOnComplete(): Unit = listener.onClosed()

    /** Lets the engine send [tokens] more. */
    fun more(tokens: Int) {
        if (tokens > 0) request(tokens.toLong())
    }
}

/** The engine's own word for a failure, such as `adapter_not_resident`. */
internal fun Throwable.engineReason(): String = (this as? EngineException)?.reason ?: "lost"
