package io.apricotslip.serving.crash

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.PromptPartId
import io.apricotslip.api.id.RequestTrait
import io.apricotslip.api.id.ServiceId
import io.apricotslip.serving.member.SimulatedFleet
import io.apricotslip.serving.member.SimulatedNode
import kotlin.random.Random

/**
 * Requests that callers send to the nodes of [fleet], and the servers that answer them, in virtual time. A prompt has a
 * first part that many share, a second one that some share, and perhaps one that crashes the server. A whole request
 * may crash the server as well.
 */
internal class SimulatedRequests(private val fleet: SimulatedFleet, seed: Int, serverCount: Int = 13) {
    private class Prompt(val traits: List<RequestTrait>, val deadly: Boolean, val sentBy: SimulatedNode) {
        var attempts = 0
    }

    private class SimulatedServer(val id: BackendServerId) {
        var life = 1L
        var downUntil = 0L
        val unanswered = LinkedHashSet<Prompt>()
    }

    private val random = Random(seed)
    private val servers = List(serverCount) { SimulatedServer(BackendServerId("e$it")) }

    /** Something that happened at [at] to a request with [traits]. */
    class Event(val at: Long, val traits: List<RequestTrait>)

    /** Crashes of servers under a deadly request. */
    val deadlyCrashes = ArrayList<Event>()

    /** Deadly requests that were sent to a server. */
    val deadlySends = ArrayList<Event>()

    /** Traits in quarantine when the simulation ended. */
    var quarantinedAtEnd = emptySet<RequestTrait>()
    var soundArrivals = 0
        private set
    var soundAnswers = 0
        private set

    /** Sends prompts at [perSecond] until [until]; with [deadlyPart], each of them has that part. */
    fun arrive(perSecond: Double, until: Long, deadlyPart: String? = null) {
        val next = fleet.now + (1_000 / perSecond * (0.2 + 1.6 * random.nextDouble())).toLong() + 1
        if (next > until) return
        fleet.at(next) {
            val node = fleet.liveNodes().random(random)
            val shared = listOf("f${random.nextInt(3)}", "m${random.nextInt(150)}") + listOfNotNull(deadlyPart)
            val whole = RequestTrait.request("${random.nextLong()}")
            val prompt = Prompt(shared.map { RequestTrait.part(PromptPartId(it)) } + whole, deadlyPart != null, node)
            if (!prompt.deadly) soundArrivals++
            send(prompt)
            arrive(perSecond, until, deadlyPart)
        }
    }

    /** Sends the whole request [digest], which crashes servers, at [perSecond] until [until], each time at any node. */
    fun repeat(digest: String, perSecond: Double, until: Long, parts: List<String>) {
        val next = fleet.now + (1_000 / perSecond * (0.2 + 1.6 * random.nextDouble())).toLong() + 1
        if (next > until) return
        fleet.at(next) {
            val traits = parts.map { RequestTrait.part(PromptPartId(it)) } + RequestTrait.request(digest)
            send(Prompt(traits, deadly = true, fleet.liveNodes().random(random)))
            repeat(digest, perSecond, until, parts)
        }
    }

    /** Crashes [count] servers at the same time, for a reason other than their prompts. */
    fun crashTogether(count: Int) = servers.shuffled(random).take(count).forEach(::crash)

    private fun send(prompt: Prompt) {
        val node = prompt.sentBy
        if (!node.running || node.frozen) return
        when (val standing = node.quarantine.standing(prompt.traits, node.localTime())) {
            is RequestStanding.Quarantined -> return
            is RequestStanding.Suspended -> return fleet.at(fleet.now + minOf(standing.millis, 100)) { send(prompt) }
            RequestStanding.Clear -> Unit
        }
        val server = servers.filter { fleet.now >= it.downUntil }.randomOrNull(random) ?: return
        prompt.attempts++
        if (prompt.deadly) deadlySends += Event(fleet.now, prompt.traits)
        server.unanswered += prompt
        fleet.at(fleet.now + 100 + random.nextLong(300)) { answer(server, prompt) }
    }

    private fun answer(server: SimulatedServer, prompt: Prompt) {
        if (prompt !in server.unanswered) return
        if (prompt.deadly) {
            deadlyCrashes += Event(fleet.now, prompt.traits)
            return crash(server)
        }
        server.unanswered -= prompt
        soundAnswers++
        whenAwake(prompt.sentBy) { quarantine.recordAnswered(SERVICE, prompt.traits, localTime()) }
    }

    private fun crash(server: SimulatedServer) {
        val prompts = server.unanswered.toList()
        val life = server.life++
        server.unanswered.clear()
        server.downUntil = fleet.now + 3_000
        for ((node, own) in prompts.groupBy { it.sentBy }) {
            val traits = own.flatMap { it.traits.withIndex() }.associate { (index, trait) ->
                trait to if (trait.isWholeRequest) CrashAttribution.WHOLE_REQUEST_POSITION else index
            }
            fleet.at(fleet.now + 1 + random.nextLong(5)) {
                if (node.running && !node.frozen) {
                    node.quarantine.recordCrash(server.id, life, SERVICE, traits, node.localTime())
                }
            }
        }
        prompts.filter { it.attempts < 2 }.forEach { fleet.at(fleet.now + 6) { send(it) } }
    }

    private fun whenAwake(node: SimulatedNode, action: SimulatedNode.() -> Unit) {
        if (node.running && !node.frozen) node.action()
    }

    private companion object {
        val SERVICE = ServiceId("s")
    }
}
