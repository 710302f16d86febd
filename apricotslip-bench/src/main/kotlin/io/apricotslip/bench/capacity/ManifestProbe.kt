package io.apricotslip.bench.capacity

import com.github.michaelbull.result.get
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.json.JsonDocument
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.api.manifest.ManifestRules
import io.apricotslip.api.manifest.ManifestText
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.wire.Message

/**
 * Text size, heap and CPU time of manifests. Parses with the rules of [ManifestText] but without its length limit.
 */
internal object ManifestProbe {
    private val adapterCounts = listOf(3_000, 10_000, 54_000)
    private val engineCounts = listOf(100, 1_000, 10_000)
    private const val MIN_ADAPTER_COUNT = 1
    private const val FIXED_ENGINE_COUNT = 13
    private val document = JsonDocument(Manifest.serializer(), ManifestRules::violations)

    fun run(): List<Series> = adapterSeries() + engineSeries() + offerSeries()

    private fun adapterSeries(): List<Series> = listOf(
        series("manifest text", "adapter", "B", adapterCounts) {
            manifestText(it, FIXED_ENGINE_COUNT).length.toDouble()
        },
        series("manifest heap, read", "adapter", "B", adapterCounts) {
            heapBytes(manifestText(it, FIXED_ENGINE_COUNT))
        },
        series("manifest read, CPU", "adapter", "us", adapterCounts) {
            readCpuMicros(manifestText(it, FIXED_ENGINE_COUNT))
        },
    )

    private fun engineSeries(): List<Series> = listOf(
        series("manifest text", "engine", "B", engineCounts) { manifestText(MIN_ADAPTER_COUNT, it).length.toDouble() },
        series("manifest heap, read", "engine", "B", engineCounts) { heapBytes(manifestText(MIN_ADAPTER_COUNT, it)) },
        series("manifest read, CPU", "engine", "us", engineCounts) {
            readCpuMicros(manifestText(MIN_ADAPTER_COUNT, it))
        },
    )

    private fun offerSeries(): List<Series> = listOf(
        series("manifest offer to one peer, bytes", "adapter", "B", adapterCounts) {
            FrameCodec.frameBytes(offer(it)).toDouble()
        },
        series("manifest offer to one peer, CPU of both ends", "adapter", "us", adapterCounts) {
            FrameCodec.cpuMicros(offer(it))
        },
    )

    private fun series(name: String, per: String, unit: String, counts: List<Int>, measure: (Int) -> Double): Series =
        Series.of(name, per, unit, counts, measure)

    private fun manifestText(adapters: Int, engines: Int): String =
        ManifestText.write(Samples.manifest(adapters, engines))

    private fun offer(adapters: Int): Message =
        Message.Safety(SafetyMessage.ManifestOffer(ManifestRevision(1), manifestText(adapters, FIXED_ENGINE_COUNT)))

    private fun read(text: String): Manifest = checkNotNull(document.read(text).get()) {
        "sample manifest is not valid"
    }

    /** Looks up one adapter and one engine, so that the lazily built lookup maps are part of the measured heap. */
    private fun heapBytes(text: String): Double = HeapMeter.bytes {
        val manifest = read(text)
        manifest.adapter(manifest.adapters.first().id)
        manifest.engine(manifest.engines.first().id)
        manifest
    }

    private fun readCpuMicros(text: String): Double = CpuMeter.micros(1) { read(text) }
}
