package io.apricotslip.bench.capacity

import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.work.WorkClass
import io.apricotslip.wire.Message

/** Size and CPU time of the messages of an answer between an entry VM and the owner of a backend server. */
internal object StreamProbe {
    private val promptByteCounts = listOf(200, 1_000, 4_000)
    private val chunkTokenCounts = listOf(1, 4, 16)
    private const val PROMPT_BYTES = 1_000
    private const val ANSWER_TOKENS = 380
    private const val BUDGET_MILLIS = 60_000L
    private val request = RequestId("5f1f6a0e-4b1c-4f0e-9a53-0d7f3c1b2a90")
    private const val TRACEPARENT = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

    fun run(): List<Series> = listOf(
        Series.of("GenerateStart, bytes", "prompt byte", "B", promptByteCounts) {
            FrameCodec.frameBytes(start(it)).toDouble()
        },
        Series.of("GenerateStart, CPU of both ends", "prompt byte", "us", promptByteCounts) {
            FrameCodec.cpuMicros(start(it))
        },
        Series.of("GenerateChunk, bytes", "token", "B", chunkTokenCounts) {
            FrameCodec.frameBytes(chunk(it)).toDouble()
        },
        Series.of("GenerateChunk, CPU of both ends", "token", "us", chunkTokenCounts) {
            FrameCodec.cpuMicros(chunk(it))
        },
    )

    /** The messages of a typical answer. */
    fun messages(): List<NamedMessage> = listOf(
        NamedMessage("GenerateStart, prompt of 1,000 bytes", start(PROMPT_BYTES)),
        NamedMessage("GenerateChunk, one token", chunk(1)),
        NamedMessage("GenerateEnd", end()),
    )

    private fun start(promptBytes: Int): Message = Message.GenerateStart(
        request = request,
        server = Samples.server(0),
        adapter = Samples.adapter(0),
        revision = ManifestRevision(1),
        workClass = WorkClass.PLAN,
        customer = CustomerId("club-00001"),
        prompt = "p".repeat(promptBytes),
        maxTokens = ANSWER_TOKENS,
        budgetMillis = BUDGET_MILLIS,
        traceparent = TRACEPARENT,
    )

    private fun chunk(tokens: Int): Message = Message.GenerateChunk(request, ANSWER_TOKENS, List(tokens) { " ride" })

    private fun end(): Message =
        Message.GenerateEnd(request, ANSWER_TOKENS, Samples.adapter(0), Samples.server(0), "stop", stallMillis = 250)
}
