package io.apricotslip.serving.fleet

import io.apricotslip.serving.Examples.adapter
import io.apricotslip.serving.published.StorePosition
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class AdapterVersionsTest {
    private val versions = AdapterVersions()
    private val a = adapter("a")
    private val position = StorePosition(0, 1)

    @Test
    fun `a new version is required after the grace period and the previous one until then`() {
        expectThat(versions.recordDeclared(a, 3, position, now = 0)).isTrue()
        expectThat(versions.minVersion(a, 1_999)).isNull()
        expectThat(versions.minVersion(a, 2_000)).isEqualTo(3)
        versions.recordDeclared(a, 4, position, now = 5_000)
        expectThat(versions.minVersion(a, 5_500)).isEqualTo(3)
        expectThat(versions.newest(a)).isEqualTo(4)
    }

    @Test
    fun `an older version is ignored`() {
        versions.recordDeclared(a, 3, position, now = 0)
        expectThat(versions.recordDeclared(a, 2, position, now = 10)).isFalse()
        expectThat(versions.newest(a)).isEqualTo(3)
    }
}
