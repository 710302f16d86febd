package io.apricotslip.serving.state

import io.apricotslip.serving.Examples.route
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class DesiredStateTest {
    private val state = DesiredState(
        version = 1,
        routes = listOf(route("/a/"), route("/a/b/"), route("/")),
        services = emptyMap(),
        limits = CallerLimits.Initial,
    )

    @Test
    fun `the route with the longest matching prefix is chosen`() {
        val cases = mapOf("/a/b/c" to "/a/b/", "/a/bc" to "/a/", "/ab" to "/", "/a" to "/")
        for ((path, prefix) in cases) expectThat(state.route("h", path)?.prefix).describedAs(path).isEqualTo(prefix)
    }

    @Test
    fun `an unknown host has no route`() {
        expectThat(state.route("other", "/a/")).isEqualTo(null)
    }

    @Test
    fun `only repeatable requests and resumable streams may be executed again`() {
        val cases = listOf(
            Triple(RouteKind.REPEATABLE, false, true),
            Triple(RouteKind.AT_MOST_ONCE, false, false),
            Triple(RouteKind.AT_MOST_ONCE, true, false),
            Triple(RouteKind.STREAM, false, false),
            Triple(RouteKind.STREAM, true, true),
        )
        for ((kind, resumable, expected) in cases) {
            expectThat(route("/", kind, resumable).retryable).describedAs("$kind $resumable").isEqualTo(expected)
        }
    }
}
