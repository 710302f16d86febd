package io.apricotslip.serving.crash

import io.apricotslip.api.id.RequestTrait

/**
 * The latest answer to a request with each trait; keeps the [capacity] traits that were answered last.
 *
 * Nodes tell each other the age of an answer, which leaves out the time on the way. An answer that is known keeps its
 * time, else it would seem later with each exchange, and in the end later than a crash that it came before.
 */
internal class AnswerTimes(private val capacity: Int) {
    /** An answer at [at]; [id] is the same at all nodes. */
    class Answer(val at: Long, val id: Int)

    private val answers = LinkedHashMap<RequestTrait, Answer>()

    fun latest(trait: RequestTrait): Answer? = answers[trait]

    /** Records the answer [id] at [at] unless it, or a later one, is known; returns whether it did. */
    fun put(trait: RequestTrait, at: Long, id: Int): Boolean {
        val known = answers[trait]
        if (known != null && (known.id == id || known.at >= at)) return false
        answers.remove(trait)
        answers[trait] = Answer(at, id)
        if (answers.size > capacity) answers.remove(answers.keys.first())
        return true
    }
}
