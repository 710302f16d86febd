package io.apricotslip.backends.http

import reactor.core.publisher.Mono
import reactor.netty.ByteBufFlux
import java.io.ByteArrayOutputStream

/** A body exceeds the limit. */
internal class BodyTooLargeException(limit: Int) : RuntimeException("body of more than $limit bytes")

/** Collects the whole body; fails with [BodyTooLargeException] when it has more than [limit] bytes. */
internal fun ByteBufFlux.collectBounded(limit: Int): Mono<ByteArray> = asByteArray()
    .collect(::ByteArrayOutputStream) { buffer, chunk ->
        if (buffer.size() + chunk.size > limit) throw BodyTooLargeException(limit)
        buffer.writeBytes(chunk)
    }
    .map { it.toByteArray() }
