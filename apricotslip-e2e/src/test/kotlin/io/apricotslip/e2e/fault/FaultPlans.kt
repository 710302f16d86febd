package io.apricotslip.e2e.fault

/** Predefined fault plans with fixed seeds. */
internal object FaultPlans {
    private const val MIN_ANSWERED_SHARE = 0.9

    /** Plans that run in every build. */
    val everyBuild: List<FaultPlan> =
        listOf(
            FaultPlan("kill", 2, listOf(Fault.Kill("vm-2")), MIN_ANSWERED_SHARE),
            FaultPlan("freeze and wake", 3, listOf(Fault.Freeze("vm-1")), MIN_ANSWERED_SHARE),
            FaultPlan("cut off", 4, listOf(Fault.Disconnect("vm-3"))),
            FaultPlan("one way", 6, listOf(Fault.HoldOneWay("vm-1"))),
            FaultPlan("silent links", 7, listOf(Fault.SilentLinks)),
            FaultPlan("kill and platform down", 15, listOf(Fault.Kill("vm-3"), Fault.PlatformMode("down"))),
        )

    /** Additional plans of the soak test: single faults and pairs of faults. */
    val soak: List<FaultPlan> =
        listOf(
            FaultPlan("no fault", 1, emptyList(), MIN_ANSWERED_SHARE),
            FaultPlan("held and late", 5, listOf(Fault.Hold("vm-2"))),
            FaultPlan("silent engine", 8, listOf(Fault.SilentEngine("e1"))),
            FaultPlan("platform down", 9, listOf(Fault.PlatformMode("down"))),
            FaultPlan("platform stale", 10, listOf(Fault.PlatformMode("stale"))),
            FaultPlan("engine restart", 11, listOf(Fault.EngineRestart("e2"))),
            FaultPlan("engine freeze", 12, listOf(Fault.EngineFreeze("e1", 4_000))),
            FaultPlan("failed loads", 13, listOf(Fault.FailedLoads(5))),
            FaultPlan("lost booking answers", 14, listOf(Fault.LostBookingAnswers(3)), MIN_ANSWERED_SHARE),
            FaultPlan("freeze and engine restart", 16, listOf(Fault.Freeze("vm-2"), Fault.EngineRestart("e3"))),
            FaultPlan("cut and silent engine", 17, listOf(Fault.Disconnect("vm-1"), Fault.SilentEngine("e2"))),
        )
}
