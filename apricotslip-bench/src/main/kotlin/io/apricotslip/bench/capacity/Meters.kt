package io.apricotslip.bench.capacity

import java.lang.management.ManagementFactory

/** CPU time of the calling thread. */
internal object CpuMeter {
    private val threads = ManagementFactory.getThreadMXBean()

    /**
     * Microseconds of CPU for each of the [operations] that one call of [run] carries out: the median of rounds after
     * a warm-up.
     */
    fun micros(operations: Int, run: () -> Unit): Double {
        repeatFor(WARM_UP_NANOS, run)
        val rounds = List(ROUNDS) { round(run) }
        return rounds.sorted()[ROUNDS / 2] / operations / NANOS_PER_MICRO
    }

    private fun round(run: () -> Unit): Double {
        val from = threads.currentThreadCpuTime
        val runs = repeatFor(ROUND_NANOS, run)
        return (threads.currentThreadCpuTime - from).toDouble() / runs
    }

    private fun repeatFor(nanos: Long, run: () -> Unit): Int {
        val until = threads.currentThreadCpuTime + nanos
        var runs = 0
        do {
            run()
            runs++
        } while (threads.currentThreadCpuTime < until)
        return runs
    }

    private const val WARM_UP_NANOS = 400_000_000L
    private const val ROUND_NANOS = 100_000_000L
    private const val ROUNDS = 5
    private const val NANOS_PER_MICRO = 1_000.0
}

/** Heap that objects take. */
internal object HeapMeter {
    private var kept: Any? = null

    /** Bytes of heap that one result of [build] keeps alive, as the median of rounds over [copies] of it. */
    fun bytes(copies: Int = 1, build: () -> Any): Double {
        val rounds = List(ROUNDS) { round(copies, build) }
        return rounds.sorted()[ROUNDS / 2].toDouble() / copies
    }

    private fun round(copies: Int, build: () -> Any): Long {
        kept = List(copies) { build() }
        val full = used()
        kept = null
        return full - used()
    }

    private fun used(): Long {
        repeat(COLLECTIONS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private const val COLLECTIONS = 3
    private const val ROUNDS = 5
}
