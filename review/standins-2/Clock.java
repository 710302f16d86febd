/** The steady clock, in milliseconds since the start of the case. */
final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {}

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        if (millis <= 0) return;
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(long at) {
        sleep(at - millis());
    }
}
