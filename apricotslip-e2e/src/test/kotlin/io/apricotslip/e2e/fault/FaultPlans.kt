package io.apricotslip.e2e.fault

/** The plans of the fault runs, with their seeds. */
internal object FaultPlans {
    private const val NINE_IN_TEN = 0.9

    /** Those that every build runs. */
    val everyBuild: List<FaultPlan> =
        listOf(
            FaultPlan("kill", 2, listOf(Fault.Kill("vm-2")), NINE_IN_TEN),
            FaultPlan("freeze and wake", 3, listOf(Fault.Freeze("vm-1")), NINE_IN_TEN),
            FaultPlan("cut off", 4, listOf(Fault.Cut("vm-3"))),
            FaultPlan("one way", 6, listOf(Fault.HoldOneWay("vm-1"))),
            FaultPlan("silent links", 7, listOf(Fault.SilentLinks)),
            FaultPlan("kill and platform down", 15, listOf(Fault.Kill("vm-3"), Fault.Platform("down"))),
        )

    /** Those of the soak, with single faults and pairs. */
    val soak: List<FaultPlan> =
        listOf(
            FaultPlan("no fault", 1, emptyList(), NINE_IN_TEN),
            FaultPlan("held and late", 5, listOf(Fault.Hold("vm-2"))),
            FaultPlan("silent engine", 8, listOf(Fault.SilentEngine("e1"))),
            FaultPlan("platform down", 9, listOf(Fault.Platform("down"))),
            FaultPlan("platform stale", 10, listOf(Fault.Platform("stale"))),
            FaultPlan("engine restart", 11, listOf(Fault.EngineRestart("e2"))),
            FaultPlan("engine freeze", 12, listOf(Fault.EngineFreeze("e1", 4_000))),
            FaultPlan("failed loads", 13, listOf(Fault.FailedLoads(5))),
            FaultPlan("lost booking answers", 14, listOf(Fault.LostBookingAnswers(3)), NINE_IN_TEN),
            FaultPlan("freeze and engine restart", 16, listOf(Fault.Freeze("vm-2"), Fault.EngineRestart("e3"))),
            FaultPlan("cut and silent engine", 17, listOf(Fault.Cut("vm-1"), Fault.SilentEngine("e2"))),
        )
}
