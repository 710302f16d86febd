package io.apricotslip.serving.published

import io.apricotslip.serving.published.StoreHistory.Verdict.CURRENT
import io.apricotslip.serving.published.StoreHistory.Verdict.OUTDATED
import io.apricotslip.serving.published.StoreHistory.Verdict.STARTED_ANEW
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class StoreHistoryTest {
    private class Answer(val era: Long?, val revision: Long?, val expected: StoreHistory.Verdict)

    private class Case(val name: String, val eras: Long, vararg val answers: Answer)

    private fun answer(era: Long?, revision: Long?, expected: StoreHistory.Verdict) = Answer(era, revision, expected)

    private val cases = listOf(
        Case("one era", 0, answer(1, 5, CURRENT), answer(1, 5, CURRENT), answer(1, 9, CURRENT)),
        Case("a higher era", 1, answer(1, 50, CURRENT), answer(2, 30, STARTED_ANEW), answer(2, 31, CURRENT)),
        Case("a count that has passed the known one again", 1, answer(1, 50, CURRENT), answer(2, 70, STARTED_ANEW)),
        Case("an era that jumps", 1, answer(1, 50, CURRENT), answer(9, 30, STARTED_ANEW), answer(9, 30, CURRENT)),
        Case(
            "a late answer of an earlier era",
            1,
            answer(1, 50, CURRENT),
            answer(2, 30, STARTED_ANEW),
            answer(1, 51, OUTDATED),
            answer(2, 31, CURRENT),
        ),
        Case(
            "two copies in a row",
            2,
            answer(1, 50, CURRENT),
            answer(2, 30, STARTED_ANEW),
            answer(3, 20, STARTED_ANEW),
        ),
        Case("an era without a revision", 1, answer(1, 50, CURRENT), answer(2, null, STARTED_ANEW)),
        Case("no era at all", 0, answer(null, 5, CURRENT), answer(null, 9, CURRENT)),
        Case("no era and a count that goes back", 1, answer(null, 50, CURRENT), answer(null, 30, STARTED_ANEW)),
        Case("no era once", 0, answer(1, 50, CURRENT), answer(null, 51, CURRENT), answer(1, 52, CURRENT)),
        Case("no era after a copy", 1, answer(1, 50, CURRENT), answer(null, 30, STARTED_ANEW)),
        Case(
            "an era that is named only later",
            1,
            answer(null, 50, CURRENT),
            answer(3, 60, STARTED_ANEW),
            answer(3, 61, CURRENT),
        ),
        Case("a count that goes back in one era", 1, answer(1, 50, CURRENT), answer(1, 30, STARTED_ANEW)),
    )

    @TestFactory
    fun `an answer continues the history, begins an era or is outdated`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val history = StoreHistory()
            for (answer in case.answers) {
                expectThat(history.judge(answer.era, answer.revision)).isEqualTo(answer.expected)
            }
            expectThat(history.era).isEqualTo(case.eras)
        }
    }
}
