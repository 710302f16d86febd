package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/**
 * Each caller gets the whole answer to its own request, once: nothing lost, doubled, cut or crossed. A request ends
 * exactly once, also when it is refused, and what came before a refusal is the beginning of the right answer.
 */
public object WholeAnswers : Invariant {
    override val name: String = "whole-answers"

    override fun violations(history: History): List<Violation> = history.requests.flatMap { (request, events) ->
        val invoke = events.firstOrNull { it.kind == EventKind.INVOKE }
        val expected = invoke?.text
        val reasons = listOfNotNull(endFault(invoke, events), expected?.let { textFault(it, events) })
        reasons.map { Violation(name, request, it) }
    }

    private fun endFault(invoke: HistoryEvent?, events: List<HistoryEvent>): String? {
        val ends = events.count { it.kind == EventKind.COMPLETE || it.kind == EventKind.REFUSED }
        return when {
            invoke == null -> "an answer came to a request that was never made"
            ends == 0 -> "neither answered nor refused"
            ends > 1 -> "ended $ends times"
            else -> null
        }
    }

    private fun textFault(expected: String, events: List<HistoryEvent>): String? {
        val complete = events.firstOrNull { it.kind == EventKind.COMPLETE }
        val chunks = events.filter { it.kind == EventKind.CHUNK }.joinToString("") { it.text.orEmpty() }
        return when {
            complete != null -> wholeFault(expected, complete.text.orEmpty())
            expected.startsWith(chunks) -> null
            else -> "what came before the refusal is not the beginning of the answer"
        }
    }

    private fun wholeFault(expected: String, got: String): String? = when {
        got == expected -> null
        expected.startsWith(got) -> "cut: ${got.length} of ${expected.length} characters, yet ended as whole"
        got.startsWith(expected) -> "doubled: ${got.length - expected.length} characters beyond the end"
        got.length < expected.length -> "lost: ${got.length} of ${expected.length} characters"
        else -> "crossed or doubled: differs at character ${expected.commonPrefixWith(got).length}"
    }
}
