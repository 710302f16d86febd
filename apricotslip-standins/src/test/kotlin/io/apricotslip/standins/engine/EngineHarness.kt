package io.apricotslip.standins.engine

import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.standins.VirtualLoop
import io.apricotslip.standins.settings.AdminSettings
import io.apricotslip.standins.settings.EngineSettings
import io.apricotslip.standins.settings.SpeedSettings
import java.time.Duration

internal val a1 = AdapterVersion.parse("a@v1")!!
internal val b1 = AdapterVersion.parse("b@v1")!!
internal val c1 = AdapterVersion.parse("c@v1")!!

/** Steps of 10 ms, regardless of the batch size. */
internal val plainSpeed =
    SpeedSettings(stepMillis = 10.0, stepMillisPerRequest = 0.0, prefillMillisPerThousandChars = 0.0, coldRequests = 0)

internal val plainSettings =
    EngineSettings(id = "e1", port = 0, admin = AdminSettings(0), slots = 2, batch = 2, queue = 2, speed = plainSpeed)

/** Runs an engine in virtual time; its adapter loads take 250 ms. */
internal class EngineHarness(private val settings: EngineSettings = plainSettings) {
    val time = VirtualLoop()
    val history = mutableListOf<HistoryEvent>()
    private val source = WeightSource.FixedTime(Duration.ofMillis(250), time.loop)
    val engine = Engine(settings, time.loop, source, history::add)

    fun load(adapter: AdapterVersion, fence: Long = 0) = time.watch(engine.load(adapter, fence))

    /** Loads [adapters] one after another until each is resident. */
    fun loadAll(vararg adapters: AdapterVersion) = adapters.forEach {
        load(it)
        time.advance(250)
    }

    fun start(id: String, adapter: AdapterVersion = a1, tokens: Int = 5, priority: Int = 0): StartAnswer {
        val body = CompletionBody(id, adapter.toString(), "prompt of $id", tokens, priority)
        return engine.start(body, adapter)
    }

    /** Reads [request] with unbounded demand; the returned list grows as virtual time advances. */
    fun read(request: String, from: Int = 0): List<String> {
        val events = mutableListOf<String>()
        engine.stream(request)!!.read(from).subscribe(events::add)
        time.advance(0)
        return events
    }
}

internal fun refused(reason: StartAnswer.Reason) = StartAnswer.Refused(reason)
