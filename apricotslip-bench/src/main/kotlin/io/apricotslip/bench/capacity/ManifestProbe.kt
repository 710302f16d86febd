package io.apricotslip.bench.capacity

import com.github.michaelbull.result.get
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.json.JsonDocument
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.api.manifest.ManifestRules
import io.apricotslip.api.manifest.ManifestText
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.wire.Message

/** Text, heap and CPU of manifests. Reads by the rules of [ManifestText], without its limit of length. */
internal object ManifestProbe {
    private val adapterSizes = listOf(3_000, 10_000, 54_000)
    private val engineSizes = listOf(100, 1_000, 10_000)
    private const val NO_ADAPTERS = 1
    private const val FEW_ENGINES = 13
    private val document = JsonDocument(Manifest.serializer(), ManifestRules::violations)

    fun run(): List<Series> = adapters() + engines() + offers()

    private fun adapters(): List<Series> = listOf(
        series("manifest text", "adapter", "B", adapterSizes) { text(it, FEW_ENGINES).length.toDouble() },
        series("manifest heap, read", "adapter", "B", adapterSizes) { heap(text(it, FEW_ENGINES)) },
        series("manifest read, CPU", "adapter", "us", adapterSizes) { cpu(text(it, FEW_ENGINES)) },
    )

    private fun engines(): List<Series> = listOf(
        series("manifest text", "engine", "B", engineSizes) { text(NO_ADAPTERS, it).length.toDouble() },
        series("manifest heap, read", "engine", "B", engineSizes) { heap(text(NO_ADAPTERS, it)) },
        series("manifest read, CPU", "engine", "us", engineSizes) { cpu(text(NO_ADAPTERS, it)) },
    )

    private fun offers(): List<Series> = listOf(
        series("manifest offer to one peer, bytes", "adapter", "B", adapterSizes) {
            FrameSize.of(offer(it)).toDouble()
        },
        series("manifest offer to one peer, CPU of both ends", "adapter", "us", adapterSizes) {
            FrameSize.micros(offer(it))
        },
    )

    private fun series(name: String, per: String, unit: String, sizes: List<Int>, measure: (Int) -> Double): Series =
        Series.of(name, per, unit, sizes, measure)

    private fun text(adapters: Int, engines: Int): String = ManifestText.write(Samples.manifest(adapters, engines))

    private fun offer(adapters: Int): Message =
        Message.Safety(SafetyMessage.ManifestOffer(ManifestRevision(1), text(adapters, FEW_ENGINES)))

    private fun read(text: String): Manifest = checkNotNull(document.read(text).get()) {
        "sample manifest is not valid"
    }

    /** Looks one adapter and one engine up, so that the maps of the manifest count. */
    private fun heap(text: String): Double = HeapMeter.bytes {
        val manifest = read(text)
        manifest.adapter(manifest.adapters.first().id)
        manifest.engine(manifest.engines.first().id)
        manifest
    }

    private fun cpu(text: String): Double = CpuMeter.micros(1) { read(text) }
}
