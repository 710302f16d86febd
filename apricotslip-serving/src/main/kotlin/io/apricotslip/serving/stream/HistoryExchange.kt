package io.apricotslip.serving.stream

import io.apricotslip.api.peer.HistoryAnswer
import io.apricotslip.api.peer.HistoryQuestion
import io.apricotslip.serving.state.RouteHistory
import kotlin.random.Random

/**
 * Lets a node that starts know what served before.
 *
 * Workload: nodes are restarted one after the other while callers take up streams of the time before. A node that has
 * watched until this one was watching itself has seen all that came before: what both know has no gap.
 */
public class HistoryExchange(private val versions: VersionHistory, private val routes: RouteHistory) {
    /** Differs between processes of this node: an answer to an earlier one must not fit a question of this one. */
    private val firstNumber = Random.nextInt(Int.MAX_VALUE / 2)
    private var watch = 0
    private var questionsLeft = 0
    private var askedAt = 0L

    /** What other nodes are to be asked at [now], if anything; must be sent. */
    public fun question(now: Long): HistoryQuestion? {
        if (versions.watchedMillis(now) == null || routes.stateVersion == null) return null
        val first = watch != versions.watches
        if (first) {
            watch = versions.watches
            questionsLeft = MAX_QUESTIONS
        }
        if (questionsLeft == 0 || (!first && now - askedAt < QUESTION_MILLIS)) return null
        questionsLeft--
        askedAt = now
        return HistoryQuestion(firstNumber + watch)
    }

    /** What this node knows at [now]; null when it does not watch. */
    public fun answer(question: HistoryQuestion, now: Long): HistoryAnswer? {
        val watchedMillis = versions.watchedMillis(now) ?: return null
        val stateVersion = routes.stateVersion ?: return null
        return HistoryAnswer(question.number, watchedMillis, versions.seen(now), stateVersion, routes.seen(now))
    }

    /** Takes over [answer], which arrived at [now], unless it answers a question of an earlier watch. */
    public fun record(answer: HistoryAnswer, now: Long) {
        if (answer.number != firstNumber + watch || watch != versions.watches) return
        versions.takeOver(answer.watchedMillis, answer.versions, now)
        routes.takeOver(answer.stateVersion, answer.routes, now)
        questionsLeft = minOf(questionsLeft, QUESTIONS_AFTER_ANSWER)
    }

    private companion object {
        /** With [QUESTION_MILLIS] the time in which a node that starts meets others. */
        const val MAX_QUESTIONS = 8
        const val QUESTION_MILLIS = 500L

        /** Nodes that answer later may have watched for longer. */
        const val QUESTIONS_AFTER_ANSWER = 2
    }
}
