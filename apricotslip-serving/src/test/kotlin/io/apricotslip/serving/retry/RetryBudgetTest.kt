package io.apricotslip.serving.retry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class RetryBudgetTest {
    @Test
    fun `all nodes together stay within the budget of the fleet in every window`() {
        val nodes = List(7) { RetryBudget(ratio = 0.2, slack = 54.0, windowMillis = 10_000) }
        val retriedAt = ArrayList<Long>()
        for (now in 0L until 60_000L step 10) {
            val node = nodes[(now / 10 % nodes.size).toInt()]
            if (now % 50 == 0L) node.recordRequest(now)
            if (node.tryAcquire(now, nodes.size)) retriedAt.add(now)
        }
        val mostInWindow = retriedAt.maxOf { start -> retriedAt.count { it in start until start + 10_000 } }
        expectThat(mostInWindow).isLessThanOrEqualTo((0.2 * 200 + 54).toInt())
    }

    @Test
    fun `retries become available again as the window moves on`() {
        val budget = RetryBudget(ratio = 0.2, slack = 10.0, windowMillis = 1_000)
        repeat(20) { budget.tryAcquire(0, nodes = 1) }
        expectThat(budget.tryAcquire(999, nodes = 1)).isEqualTo(false)
        expectThat(budget.tryAcquire(1_000, nodes = 1)).isEqualTo(true)
    }
}
