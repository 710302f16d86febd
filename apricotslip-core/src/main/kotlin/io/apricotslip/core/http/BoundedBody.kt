package io.apricotslip.core.http

import io.netty.buffer.ByteBuf
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.io.ByteArrayOutputStream

/** Reads a request body and buffers at most a limit plus one network buffer. */
internal object BoundedBody {
    /** Returns the body. If it exceeds [limit] bytes, returns a prefix of it that is longer than [limit]. */
    fun read(buffers: Flux<ByteBuf>, limit: Int): Mono<ByteArray> = buffers
        .map { buffer -> ByteArray(buffer.readableBytes()).also { buffer.readBytes(it) } }
        .scanWith(::ByteArrayOutputStream) { out, bytes -> out.also { it.write(bytes) } }
        .takeUntil { it.size() > limit }
        .last()
        .map(ByteArrayOutputStream::toByteArray)
}
