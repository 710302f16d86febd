package io.apricotslip.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import io.apricotslip.api.json.JsonFault
import io.apricotslip.api.time.Ticker
import io.apricotslip.standins.booking.BookingStandin
import io.apricotslip.standins.config.ConfigStandin
import io.apricotslip.standins.engine.EngineStandin
import io.apricotslip.standins.history.History
import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.BookingListSettings
import io.apricotslip.standins.settings.BookingSettings
import io.apricotslip.standins.settings.ConfigSettings
import io.apricotslip.standins.settings.EngineListSettings
import io.apricotslip.standins.settings.EngineSettings
import io.apricotslip.standins.settings.SettingsText
import io.apricotslip.standins.settings.StandinSettings
import io.apricotslip.standins.settings.StoreSettings
import io.apricotslip.standins.settings.VmsSettings
import io.apricotslip.standins.store.StoreStandin
import io.apricotslip.standins.vms.VmsStandin
import reactor.core.scheduler.Scheduler
import reactor.core.scheduler.Schedulers
import reactor.netty.ChannelBindException

/** Starts stand-ins from the text of a settings file. */
public object Standins {
    private const val LOOP_THREADS = 4
    private val scheduler: Scheduler by lazy { Schedulers.newParallel("standin", LOOP_THREADS, true) }

    /**
     * Parses [text] as settings of [kind] and starts all stand-ins in it, or only the one named [id]. If the settings
     * have any fault, starts nothing and returns all faults. If a port cannot be bound, stops the stand-ins that were
     * already started and throws [ChannelBindException].
     */
    public fun start(
        kind: StandinKind,
        text: String,
        id: String? = null,
    ): Result<List<RunningStandin>, List<JsonFault>> = read(kind, text)
        .flatMap { all -> select(all, id) }
        .map(::startAll)

    private fun read(kind: StandinKind, text: String): Result<List<StandinSettings>, List<JsonFault>> = when (kind) {
        StandinKind.ENGINE -> SettingsText.read(text, EngineSettings.serializer()).map(::listOf)
        StandinKind.ENGINES -> SettingsText.read(text, EngineListSettings.serializer()).map { it.engines }
        StandinKind.STORE -> SettingsText.read(text, StoreSettings.serializer()).map(::listOf)
        StandinKind.CONFIG -> SettingsText.read(text, ConfigSettings.serializer()).map(::listOf)
        StandinKind.VMS -> SettingsText.read(text, VmsSettings.serializer()).map(::listOf)
        StandinKind.BOOKING -> SettingsText.read(text, BookingSettings.serializer()).map(::listOf)
        StandinKind.BOOKINGS -> SettingsText.read(text, BookingListSettings.serializer()).map { it.replicas }
    }

    private fun select(all: List<StandinSettings>, id: String?): Result<List<StandinSettings>, List<JsonFault>> {
        val selected = all.filter { id == null || it.id == id }
        return if (selected.isEmpty()) Err(listOf(JsonFault("$", "no stand-in is named '$id'"))) else Ok(selected)
    }

    private fun startAll(all: List<StandinSettings>): List<RunningStandin> {
        val started = mutableListOf<RunningStandin>()
        try {
            all.forEach { started += startOne(it) }
        } catch (e: ChannelBindException) {
            started.forEach(RunningStandin::stop)
            throw e
        }
        return started
    }

    private fun startOne(settings: StandinSettings): RunningStandin {
        val loop = EventLoop(scheduler, Ticker.System)
        val service = service(settings, loop)
        val controls = CommonControls(settings.id, service.server, loop).routes()
        service.server.start(service.serviceRoutes(), service.adminRoutes() + controls)
        return RunningStandin(settings.id, service)
    }

    private fun service(settings: StandinSettings, loop: EventLoop): StandinService = when (settings) {
        is EngineSettings -> EngineStandin(settings, loop, History.of(settings.historyFile))
        is StoreSettings -> StoreStandin(settings, loop, History.of(settings.historyFile))
        is ConfigSettings -> ConfigStandin(settings, loop)
        is VmsSettings -> VmsStandin(settings, loop)
        is BookingSettings -> BookingStandin(settings, loop, History.of(settings.historyFile))
    }
}
