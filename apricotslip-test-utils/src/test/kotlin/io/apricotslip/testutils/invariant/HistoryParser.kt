package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/**
 * Builds histories from a compact text form: one event per line as `process kind key=value ...`, in time order and
 * one second apart. A `---` line starts a new process incarnation.
 */
internal object HistoryParser {
    private const val NANOS_PER_SECOND = 1_000_000_000L

    fun parse(text: String): History {
        var at = 0L
        val incarnations = text.trimIndent().split(Regex("(?m)^---$"))
        return History(
            incarnations.map { section ->
                section.lines().filter { it.isNotBlank() }.map { event(it.trim(), at++ * NANOS_PER_SECOND) }
            },
        )
    }

    private fun event(line: String, at: Long): HistoryEvent {
        val tokens = line.split(' ')
        val fields = tokens.drop(2).associate { it.substringBefore('=') to it.substringAfter('=') }
        return HistoryEvent(
            at = at,
            process = tokens[0],
            kind = EventKind.valueOf(tokens[1]),
            request = fields["request"],
            server = fields["server"],
            adapter = fields["adapter"]?.substringBefore('@'),
            version = fields["adapter"]?.substringAfter('@'),
            revision = fields["revision"]?.toLong(),
            key = fields["key"],
            text = fields["text"],
            certainty = fields["certainty"],
            detail = fields["detail"],
        )
    }
}
