package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/**
 * Each caller receives the complete answer to its own request exactly once: no text is lost, duplicated, truncated or
 * taken from another answer. A request ends exactly once, by completion or by refusal, and the text received before
 * a refusal is a prefix of the expected answer.
 */
public object WholeAnswers : Invariant {
    override val name: String = "whole-answers"

    override fun violations(history: History): List<Violation> = history.requests.flatMap { (request, events) ->
        val invoke = events.firstOrNull { it.kind == EventKind.INVOKE }
        val expected = invoke?.text
        val errors = listOfNotNull(terminationError(invoke, events), expected?.let { textError(it, events) })
        errors.map { Violation(name, request, it) }
    }

    private fun terminationError(invoke: HistoryEvent?, events: List<HistoryEvent>): String? {
        val endCount = events.count { it.kind == EventKind.COMPLETE || it.kind == EventKind.REFUSED }
        return when {
            invoke == null -> "an answer was recorded for a request that was never made"
            endCount == 0 -> "neither answered nor refused"
            endCount > 1 -> "ended $endCount times"
            else -> null
        }
    }

    private fun textError(expected: String, events: List<HistoryEvent>): String? {
        val complete = events.firstOrNull { it.kind == EventKind.COMPLETE }
        val chunks = events.filter { it.kind == EventKind.CHUNK }.joinToString("") { it.text.orEmpty() }
        return when {
            complete != null -> mismatch(expected, complete.text.orEmpty())
            expected.startsWith(chunks) -> null
            else -> "the text before the refusal is not a prefix of the expected answer"
        }
    }

    private fun mismatch(expected: String, received: String): String? = when {
        received == expected -> null

        expected.startsWith(received) ->
            "truncated: ${received.length} of ${expected.length} characters, yet marked as complete"

        received.startsWith(expected) -> "duplicated: ${received.length - expected.length} characters beyond the end"

        received.length < expected.length -> "lost: ${received.length} of ${expected.length} characters"

        else -> "mixed up or duplicated: differs at character ${expected.commonPrefixWith(received).length}"
    }
}
