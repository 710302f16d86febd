package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault
import io.apricotslip.api.manifest.FenceCheck
import io.apricotslip.api.manifest.WhenFull
import kotlinx.serialization.Serializable

/**
 * Speed of an engine. A step generates one token for each running request. It takes [stepMillis], plus
 * [stepMillisPerRequest] for each running request, plus the prefill time of the requests that join the batch.
 *
 * @property prefillMillisPerThousandChars prefill time per thousand characters that miss the prefix cache.
 * @property coldRequests number of requests after a restart whose prefill takes [coldMillis] longer.
 */
@Serializable
internal data class SpeedSettings(
    val stepMillis: Double = 20.0,
    val stepMillisPerRequest: Double = 0.5,
    val prefillMillisPerThousandChars: Double = 40.0,
    val coldRequests: Int = 8,
    val coldMillis: Double = 200.0,
) : Checked {
    override fun faults(path: String): List<RuleFault> = rules(path) {
        positive("stepMillis", stepMillis)
        atLeast("stepMillisPerRequest", stepMillisPerRequest, 0)
        atLeast("prefillMillisPerThousandChars", prefillMillisPerThousandChars, 0)
        atLeast("coldRequests", coldRequests, 0)
        atLeast("coldMillis", coldMillis, 0)
    }
}

/**
 * Prefix cache of an engine.
 *
 * @property blocks capacity of the cache, in blocks.
 * @property blockChars characters per block.
 * @property eventLagMillis delay before an event is published.
 * @property eventLossRatio share of events that are never published, selected at random with [seed].
 * @property maxEvents published events that are retained for readers.
 */
@Serializable
internal data class CacheSettings(
    val blocks: Int = 4_096,
    val blockChars: Int = 64,
    val eventLagMillis: Long = 500,
    val eventLossRatio: Double = 0.02,
    val maxEvents: Int = 4_096,
    val seed: Long = 1,
) : Checked {
    override fun faults(path: String): List<RuleFault> = rules(path) {
        atLeast("blocks", blocks, 0)
        atLeast("blockChars", blockChars, 1)
        atLeast("eventLagMillis", eventLagMillis, 0)
        require("eventLossRatio", eventLossRatio in 0.0..1.0, "must be between 0 and 1")
        atLeast("maxEvents", maxEvents, 1)
    }
}

/** How adapters are loaded: from the [store], or without one in a fixed time of [millis]. */
@Serializable
internal data class LoadSettings(
    val store: PeerAddress? = null,
    val millis: Long = 250,
    val timeoutMillis: Long = 120_000,
) : Checked {
    override fun faults(path: String): List<RuleFault> = rules(path) {
        nested("store", store)
        atLeast("millis", millis, 0)
        atLeast("timeoutMillis", timeoutMillis, 1)
    }
}

/**
 * Settings of an engine.
 *
 * @property slots number of adapter slots.
 * @property batch maximum number of requests decoded concurrently.
 * @property queue maximum number of requests that wait to join the batch; further ones are rejected.
 */
@Serializable
internal data class EngineSettings(
    override val id: String,
    override val address: String = "127.0.0.1",
    override val port: Int,
    override val admin: AdminSettings,
    override val historyFile: String? = null,
    val model: String = "base",
    val zone: String = "z1",
    val slots: Int = 8,
    val batch: Int = 16,
    val queue: Int = 64,
    val speed: SpeedSettings = SpeedSettings(),
    val cache: CacheSettings = CacheSettings(),
    val load: LoadSettings = LoadSettings(),
    val fence: FenceCheck = FenceCheck.CHECKED,
    val whenFull: WhenFull = WhenFull.REFUSES,
    val reportLagMillis: Long = 200,
    val detachMillis: Long = 10_000,
    val retainMillis: Long = 30_000,
    val coldMillis: Long = 5_000,
    val maxTokens: Int = 100_000,
    val maxPromptChars: Int = 1_000_000,
) : StandinSettings {
    override fun faults(path: String): List<RuleFault> = commonFaults(path) + rules(path) {
        name("model", model)
        name("zone", zone)
        atLeast("slots", slots, 1)
        atLeast("batch", batch, 1)
        atLeast("queue", queue, 0)
        nested("speed", speed)
        nested("cache", cache)
        nested("load", load)
        atLeast("reportLagMillis", reportLagMillis, 0)
        atLeast("detachMillis", detachMillis, 0)
        atLeast("retainMillis", retainMillis, 0)
        atLeast("coldMillis", coldMillis, 0)
        atLeast("maxTokens", maxTokens, 1)
        atLeast("maxPromptChars", maxPromptChars, 1)
    }
}
