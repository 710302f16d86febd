package io.apricotslip.wire

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.fleet.VmState
import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.VersionId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.api.peer.AdapterUse
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.api.work.WorkClass
import kotlin.random.Random

/** Makes messages of every kind from a seed; [typical] ones have sizes as in service. */
internal class Messages(private val random: Random, private val typical: Boolean = false) {
    fun all(): List<Message> =
        safety().map { Message.Safety(it) } + fleet().map { Message.Fleet(it) } + work() + listOf(
            Message.Engines(several { status() }),
            Message.TokenLoan(random.nextDouble()),
            Message.TokenAsk(random.nextDouble(), random.nextInt(4), number()),
            Message.Stopping,
        )

    private fun safety(): List<SafetyMessage> = listOf(
        SafetyMessage.Heartbeat(number(), ListRevision(number()), ManifestRevision(number())),
        SafetyMessage.HeartbeatAck(number(), ListRevision(number()), ManifestRevision(number())),
        SafetyMessage.ListOffer(VmList(ListRevision(number()), several { vm() })),
        SafetyMessage.ManifestOffer(ManifestRevision(number()), text(2_000)),
        SafetyMessage.Pass(server(), ListRevision(number())),
        SafetyMessage.EvictAsk(server(), adapter(), number(), ListRevision(number())),
        SafetyMessage.EvictAnswer(server(), adapter(), number(), ListRevision(number()), random.nextBoolean()),
        SafetyMessage.EvictDone(server(), adapter(), number()),
    )

    private fun fleet(): List<FleetMessage> = listOf(
        FleetMessage.Report(number(), several { VmId(text(9)) }, several { use() }, several { claim() }),
        FleetMessage.LoadAsk(server(), text(16), number(), random.nextBoolean(), number(), number(), number()),
        FleetMessage.LoadAnswer(number(), random.nextBoolean(), number(), optional(20)),
    )

    private fun use() = FleetMessage.ServerUse(server(), count(), number(), number(), several { text(16) })

    private fun claim() = FleetMessage.ServerClaim(
        server(),
        number(),
        FenceNumber(number()),
        several { text(16) to number() }.toMap(),
        several { text(16) },
    )

    private fun work(): List<Message> = listOf(
        Message.GenerateStart(
            request(), server(), adapter(), ManifestRevision(number()), WorkClass.entries.random(random),
            CustomerId(text(12)), text(1_000), count(), number(), optional(55),
        ),
        Message.GenerateChunk(request(), count(), several { text(5) }),
        Message.GenerateEnd(request(), count(), adapter(), server(), text(4), number()),
        Message.GenerateRefused(request(), refusal()),
        Message.GenerateResume(request(), server(), adapter(), count(), number()),
        Message.GenerateCancel(request()),
        Message.GenerateCredit(request(), count()),
        Message.ReserveStart(
            request(), ServiceId(text(7)), text(36), "POST", text(16), optional(16), body(), number(), optional(55),
        ),
        Message.ReserveEnd(request(), count(), optional(16), body(), server()),
        Message.ReserveRefused(request(), refusal()),
    )

    private fun status() = EngineStatus(
        server(), count(), count(), count(), count(), count(), count(), random.nextBoolean(), random.nextDouble(),
        several { AdapterUse(adapter(), count(), count()) },
    )

    private fun refusal() = Refusal(
        RefusalCode.entries.random(random),
        Step.entries.random(random),
        text(8),
        Certainty.entries.random(random),
        text(40),
    )

    private fun vm() = Vm(
        VmId(text(8)),
        ZoneId(text(8)),
        "10.0.0.1",
        count(),
        random.nextDouble(),
        VmState.entries.random(random),
    )

    private fun adapter() = AdapterVersion(AdapterId(text(16)), VersionId(text(2)))

    private fun server() = BackendServerId(text(10))

    private fun request() = RequestId(text(36))

    private fun body() = random.nextBytes(if (typical) 200 else random.nextInt(300))

    private fun count() = if (typical) random.nextInt(1_000) else random.nextInt()

    private fun number() = if (typical) random.nextLong(100_000) else random.nextLong()

    private fun optional(length: Int) = if (typical || random.nextBoolean()) text(length) else null

    private fun <T> several(make: () -> T): List<T> = List(if (typical) 8 else random.nextInt(4)) { make() }

    private fun text(length: Int): String =
        if (typical) "x".repeat(length) else String(CharArray(random.nextInt(length + 1)) { letter() })

    /** Any character but the halves of surrogate pairs, which UTF-8 can't carry alone. */
    private fun letter(): Char = random.nextInt(0xD800).toChar()
}
