package io.apricotslip.core.http

import io.netty.buffer.ByteBuf
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.io.ByteArrayOutputStream

/** Reads a body without keeping more than a limit and one buffer. */
internal object BoundedBody {
    /** The body, or a longer array than [limit] when it is too long. */
    fun read(buffers: Flux<ByteBuf>, limit: Int): Mono<ByteArray> = buffers
        .map { buffer -> ByteArray(buffer.readableBytes()).also { buffer.readBytes(it) } }
        .scanWith(::ByteArrayOutputStream) { out, bytes -> out.also { it.write(bytes) } }
        .takeUntil { it.size() > limit }
        .last()
        .map(ByteArrayOutputStream::toByteArray)
}
