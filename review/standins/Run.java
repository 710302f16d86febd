package review;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** One run of a case: the record, the nodes as processes, and the exit code. */
final class Run {
    /** Bounds of the small deployments. */
    static final long CONTACT_MILLIS = 3_000;
    static final long DRAIN_MILLIS = 2_000;
    static final long CONFIG_APPLY_MILLIS = 2_000;
    static final long ROLLBACK_SLACK_MILLIS = 250;
    static final long LEASE_MILLIS = 3_000;

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long LIMIT_SECONDS = 110;

    /** Whether the disruption is made. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final long startNanos = System.nanoTime();
    private final Path folder;
    private final BufferedWriter record;
    private final List<Process> processes = new ArrayList<>();

    interface Body {
        /** Returns whether the rule was kept. */
        boolean play(Run run) throws Exception;
    }

    /** Plays [body] and ends this process with the exit code of the case; [caseFolder] gets the record. */
    static void main(String caseFolder, Body body) {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4000");
        int code = COULD_NOT_RUN;
        try {
            Run run = new Run(Path.of(caseFolder));
            Runtime.getRuntime().addShutdownHook(new Thread(run::cleanUp));
            Thread watchdog = new Thread(() -> {
                pause(TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));
                run.log("the run takes too long");
                System.exit(COULD_NOT_RUN);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            try {
                code = body.play(run) ? HELD : BROKEN;
            } catch (Throwable e) {
                run.log("could not run: " + e);
                e.printStackTrace();
            }
            run.log("trouble=" + (TROUBLE ? 1 : 0) + " exit=" + code);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private Run(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review");
        record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
    }

    /** Milliseconds of the steady clock since the start of the run. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes [line] with its time to the record and to the standard output. */
    void log(String line) {
        System.out.println(now() + " " + line);
        note(now(), line);
    }

    /** Writes [line] to the record only. */
    synchronized void note(long at, String line) {
        try {
            record.write(at + " " + line + "\n");
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void pauseUntil(long at) {
        pause(Math.max(0, at - now()));
    }

    void await(String what, long millis, BooleanSupplier condition) {
        long end = now() + millis;
        while (!condition.getAsBoolean()) {
            if (now() > end) throw new IllegalStateException("waited in vain for " + what);
            pause(50);
        }
    }

    /** [count] ports that are free on each of [ips]. */
    static int[] freePorts(int count, List<String> ips) throws IOException {
        int[] ports = new int[count];
        int found = 0;
        int port = 12_000 + new Random().nextInt(18_000);
        while (found < count) {
            port++;
            if (isFree(port, ips)) ports[found++] = port;
        }
        return ports;
    }

    private static boolean isFree(int port, List<String> ips) {
        for (String ip : ips) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    /** A node of the system on a loopback address of its own. */
    final class Node {
        final String ip;
        final String zone;
        private final String store;
        private final int[] ports;
        private final List<String> seeds;
        private Process process;

        /** [ports] are those for callers, readiness, control, and the first and last one for other nodes. */
        Node(String ip, String zone, String store, int[] ports, List<String> seeds) {
            this.ip = ip;
            this.zone = zone;
            this.store = store;
            this.ports = ports;
            this.seeds = seeds;
        }

        int callerPort() {
            return ports[0];
        }

        void start() throws IOException {
            Path settings = folder.resolve(ip + ".json");
            Files.writeString(settings, settings());
            List<String> command = List.of(deployCommand().split(" "));
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(ip + ".log").toFile()));
            Map<String, String> kept = new HashMap<>();
            for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (System.getenv(name) != null) kept.put(name, System.getenv(name));
            }
            builder.environment().clear();
            builder.environment().putAll(kept);
            builder.environment().put("APRICOTSLIP_NODE_FILE", settings.toString());
            process = builder.start();
            synchronized (processes) {
                processes.add(process);
            }
        }

        boolean isReady() {
            try {
                return Client.get(ip, ports[1], "/apricotslip/readiness") == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Asks the node to stop, as the platform does. */
        void terminate() {
            process.destroy();
        }

        /** Kills the process. */
        void kill() {
            process.destroyForcibly();
        }

        private String settings() {
            StringBuilder seedList = new StringBuilder();
            for (String seed : seeds) seedList.append(seedList.length() == 0 ? "" : ",").append("\"").append(seed)
                .append(":").append(ports[2]).append("\"");
            return "{\"node\":\"front-" + ip + "\",\"role\":\"node\",\"machineClass\":\"front\",\"serves\":[\"front\",\"control\"],"
                + "\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\"r\",\"internalPorts\":[" + ports[3] + ","
                + ports[4] + "],\"seeds\":[" + seedList + "],\"bootstrap\":true,\"countsAsLoss\":false,"
                + "\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,"
                + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"platform\"],"
                + "\"zones\":{\"z1\":\"r\",\"z2\":\"r\",\"z3\":\"r\"},\"listen\":{\"front\":\"" + ip + ":" + ports[0]
                + "\",\"ready\":\"" + ip + ":" + ports[1] + "\",\"control\":\"" + ip + ":" + ports[2] + "\"},"
                + "\"limits\":{\"cpuShare\":0.75,\"cores\":1,\"memoryMb\":430,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},"
                + "\"tolerate\":{\"machines\":2,\"zones\":0,\"regions\":0},"
                + "\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,"
                + "\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxStretchMs\":5000,"
                + "\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"budgetSlack\":54,\"recoveryS\":12,\"passMs\":120,"
                + "\"retryAfterS\":0,\"requireFencing\":true,\"leaseMs\":3000,\"thawMs\":300,\"ceilingWindowS\":5,"
                + "\"ceilingOverage\":1.1,\"version_ms\":5000},"
                + "\"platform\":{\"address\":\"" + store + "\",\"form\":\"read\",\"writesPerS\":400,\"readsPerS\":2000,"
                + "\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}";
        }
    }

    /** The command of the deploy file that starts a node. */
    private static String deployCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) return line.substring("run = \"".length(), line.length() - 1);
        }
        throw new IOException("no command in the deploy file");
    }

    /** Lines of the logs of all nodes that contain [text], for the record. */
    void noteLogs(String text) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
                for (String line : Files.readAllLines(file)) {
                    if (line.contains(text)) note(now(), "log " + file.getFileName() + " " + line);
                }
            }
        }
    }

    private void cleanUp() {
        synchronized (processes) {
            for (Process process : processes) process.destroyForcibly();
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            e.printStackTrace();
        }
    }
}
