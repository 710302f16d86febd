package io.apricotslip.bench.capacity

import java.lang.management.ManagementFactory

/** Measures the CPU time of the calling thread. */
internal object CpuMeter {
    private val threads = ManagementFactory.getThreadMXBean()

    /**
     * CPU time in microseconds per operation, where one call of [run] carries out [operations] of them: the median
     * of several rounds after a warm-up.
     */
    fun micros(operations: Int, run: () -> Unit): Double {
        repeatFor(WARM_UP_NANOS, run)
        val rounds = List(ROUND_COUNT) { round(run) }
        return rounds.sorted()[ROUND_COUNT / 2] / operations / NANOS_PER_MICRO
    }

    private fun round(run: () -> Unit): Double {
        val from = threads.currentThreadCpuTime
        val executions = repeatFor(ROUND_NANOS, run)
        return (threads.currentThreadCpuTime - from).toDouble() / executions
    }

    private fun repeatFor(nanos: Long, run: () -> Unit): Int {
        val until = threads.currentThreadCpuTime + nanos
        var executions = 0
        do {
            run()
            executions++
        } while (threads.currentThreadCpuTime < until)
        return executions
    }

    private const val WARM_UP_NANOS = 400_000_000L
    private const val ROUND_NANOS = 100_000_000L
    private const val ROUND_COUNT = 5
    private const val NANOS_PER_MICRO = 1_000.0
}

/** Measures the heap that objects retain. */
internal object HeapMeter {
    private var retained: Any? = null

    /** Heap in bytes that one result of [build] retains: the median of several rounds, each with [copies] results. */
    fun bytes(copies: Int = 1, build: () -> Any): Double {
        val rounds = List(ROUND_COUNT) { round(copies, build) }
        return rounds.sorted()[ROUND_COUNT / 2].toDouble() / copies
    }

    private fun round(copies: Int, build: () -> Any): Long {
        retained = List(copies) { build() }
        val usedWithObjects = usedBytes()
        retained = null
        return usedWithObjects - usedBytes()
    }

    private fun usedBytes(): Long {
        repeat(GC_COUNT) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private const val GC_COUNT = 3
    private const val ROUND_COUNT = 5
}
