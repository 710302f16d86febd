package io.apricotslip.testutils.invariant

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.testutils.history.History

/**
 * Writes histories as short lines: `process kind key=value ...`, one a line, in order, a second apart. `---` begins
 * another process life.
 */
internal object PlantedHistory {
    private const val SECOND = 1_000_000_000L

    fun of(text: String): History {
        var at = 0L
        val lives = text.trimIndent().split(Regex("(?m)^---$"))
        return History(
            lives.map { life ->
                life.lines().filter { it.isNotBlank() }.map { event(it.trim(), at++ * SECOND) }
            },
        )
    }

    private fun event(line: String, at: Long): HistoryEvent {
        val words = line.split(' ')
        val fields = words.drop(2).associate { it.substringBefore('=') to it.substringAfter('=') }
        return HistoryEvent(
            at = at,
            process = words[0],
            kind = EventKind.valueOf(words[1]),
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
