package io.apricotslip.backends.http

import reactor.core.publisher.Mono
import reactor.netty.ByteBufFlux
import java.io.ByteArrayOutputStream

/** A body was longer than the limit. */
internal class BodyTooLongException(limit: Int) : RuntimeException("body of more than $limit bytes")

/** Collects this body; fails with [BodyTooLongException] beyond [limit] bytes. */
internal fun ByteBufFlux.collectBounded(limit: Int): Mono<ByteArray> = asByteArray()
    .collect(::ByteArrayOutputStream) { whole, part ->
        if (whole.size() + part.size > limit) throw BodyTooLongException(limit)
        whole.writeBytes(part)
    }
    .map { it.toByteArray() }
