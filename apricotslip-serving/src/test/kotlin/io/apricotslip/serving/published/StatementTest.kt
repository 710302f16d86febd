package io.apricotslip.serving.published

import io.apricotslip.serving.published.AuthorCount.Entry
import io.apricotslip.serving.published.AuthorCount.Removal
import io.apricotslip.serving.published.AuthorCount.Version
import io.apricotslip.serving.published.Recency.NEWER
import io.apricotslip.serving.published.Recency.OLDER
import io.apricotslip.serving.published.Recency.SAME
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** What is newer when the store's revisions start anew, for each kind of statement. */
class StatementTest {
    private class Case(val name: String, val candidate: Statement, val known: Statement, val expected: Recency)

    private fun at(era: Long, revision: Long, count: AuthorCount) = Statement(StorePosition(era, revision), count)

    private fun entry(sequence: Long, leaving: Boolean = false, born: Long = 1) = Entry(born, sequence, leaving)

    private val cases = listOf(
        Case("a higher version", at(0, 9, Version(4)), at(0, 8, Version(3)), NEWER),
        Case("a lower version at a higher revision", at(0, 9, Version(3)), at(0, 8, Version(4)), OLDER),
        Case("the version of a copy", at(1, 5, Version(3)), at(0, 8, Version(4)), OLDER),
        Case("a version that is written again after a copy", at(1, 6, Version(4)), at(0, 8, Version(4)), SAME),
        Case("a higher version at a lower revision of a later era", at(1, 6, Version(5)), at(0, 8, Version(4)), NEWER),
        Case("a higher version of an earlier era", at(0, 9, Version(5)), at(1, 8, Version(4)), NEWER),
        Case("an entry at a higher revision", at(0, 9, entry(5)), at(0, 8, entry(4)), NEWER),
        Case("an entry at the same revision", at(0, 8, entry(4)), at(0, 8, entry(4)), SAME),
        Case("an entry at a lower revision", at(0, 7, entry(3)), at(0, 8, entry(4)), OLDER),
        Case("a server that takes its leaving back", at(0, 9, entry(5)), at(0, 8, entry(4, leaving = true)), NEWER),
        Case(
            "a restarted server whose clock was set back",
            at(0, 9, entry(1, born = 1)),
            at(0, 8, entry(4, born = 2)),
            NEWER,
        ),
        Case("the entry of a copy", at(1, 5, entry(3)), at(0, 8, entry(4)), OLDER),
        Case("the entry of a copy at a higher revision", at(1, 9, entry(3)), at(0, 8, entry(4)), OLDER),
        Case("the entry of a copy for a leaving server", at(1, 5, entry(3)), at(0, 8, entry(4, leaving = true)), OLDER),
        Case("a copy without the leaving", at(1, 5, entry(4)), at(0, 8, entry(4, leaving = true)), OLDER),
        Case("an entry that is written again", at(1, 6, entry(4)), at(0, 8, entry(4)), SAME),
        Case("a new entry at a lower revision of a later era", at(1, 6, entry(5)), at(0, 8, entry(4)), NEWER),
        Case(
            "a leaving at a lower revision of a later era",
            at(1, 6, entry(5, leaving = true)),
            at(0, 8, entry(4)),
            NEWER,
        ),
        Case("a new incarnation in a later era", at(1, 6, entry(1, born = 2)), at(0, 8, entry(4)), NEWER),
        Case("an earlier incarnation in a copy", at(1, 5, entry(9, born = 1)), at(0, 8, entry(1, born = 2)), OLDER),
        Case("an entry of an earlier era", at(0, 99, entry(9)), at(1, 5, entry(4)), OLDER),
        Case("a removal at a higher revision", at(0, 9, Removal), at(0, 8, entry(4)), NEWER),
        Case("a removal that was read late", at(0, 7, Removal), at(0, 8, entry(4)), OLDER),
        Case("a removal at a lower revision of a later era", at(1, 6, Removal), at(0, 8, entry(4)), NEWER),
        Case("a removal of an earlier era", at(0, 99, Removal), at(1, 5, entry(4)), OLDER),
        Case("an entry after its removal", at(0, 9, entry(5)), at(0, 8, Removal), NEWER),
        Case("an entry before its removal", at(0, 7, entry(5)), at(0, 8, Removal), OLDER),
    )

    @TestFactory
    fun `a statement is compared by revision within an era and by its author's count between eras`() = cases.map {
        DynamicTest.dynamicTest(it.name) { expectThat(it.candidate.recency(it.known)).isEqualTo(it.expected) }
    }
}
