import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's program as separate processes, started with the command of deploy/system.toml. */
final class Nodes {
    /** One process on one loopback address. */
    final class Node {
        final String ip;
        final String zone;
        final Path settings;
        final File log;
        Process process;

        Node(String ip, String zone) throws IOException {
            this.ip = ip;
            this.zone = zone;
            settings = folder.resolve(ip + ".json");
            log = folder.resolve(ip + ".log").toFile();
        }

        void start() throws IOException {
            Files.writeString(settings, settings(this));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().put("APRICOTSLIP_NODE_FILE", settings.toString());
            process = builder.start();
        }

        boolean ready() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, readyPort), 500);
                socket.setSoTimeout(1000);
                Http.write(socket.getOutputStream(), "GET /apricotslip/readiness HTTP/1.1\r\nHost: ready\r\n", "");
                Http.Message answer = Http.read(socket.getInputStream(), true);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    final List<Node> all = new ArrayList<>();
    final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final int peerPort;
    private final Path folder;
    private final String store;
    private final List<String> command;
    private final String network;

    /** Prepares {@code zones.length} nodes, one in each of {@code zones}, whose logs go to {@code folder}. */
    Nodes(Path folder, String network, String store, String... zones) throws IOException {
        this.folder = folder;
        this.store = store;
        this.network = network;
        Random random = new Random();
        int[] ports = new int[5];
        for (int i = 0; i < ports.length; i++) ports[i] = freePort(random);
        while (!free(ports[3] + 1)) ports[3] = freePort(random);
        frontPort = ports[0];
        readyPort = ports[1];
        controlPort = ports[2];
        peerPort = ports[3];
        command = command();
        for (int i = 0; i < zones.length; i++) all.add(new Node(network + (i + 11), zones[i]));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** At most three machines, one of each zone. */
    List<Node> seeds() {
        List<Node> seeds = new ArrayList<>();
        for (Node node : all) {
            if (seeds.size() < 3 && seeds.stream().noneMatch(seed -> seed.zone.equals(node.zone))) seeds.add(node);
        }
        return seeds;
    }

    static String newNetwork() {
        Random random = new Random();
        return "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
    }

    void startAll() throws IOException {
        for (Node node : all) node.start();
        long until = Clock.millis() + 40_000;
        for (Node node : all) {
            while (!node.ready()) {
                if (Clock.millis() > until) throw new IOException("node " + node.ip + " is not ready");
                Clock.sleep(50);
            }
        }
    }

    void killAll() {
        for (Node node : all) if (node.process != null) node.kill();
    }

    private static List<String> command() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("no command in deploy/system.toml");
        return Arrays.asList(run.group(1).split(" +"));
    }

    private static int freePort(Random random) {
        while (true) {
            int port = 12_000 + random.nextInt(18_000);
            if (free(port)) return port;
        }
    }

    private static boolean free(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName("0.0.0.0"), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** All fields of DEPLOY.md as JSON, as the template of the deploy file asks for them. */
    private String settings(Node node) {
        StringBuilder seeds = new StringBuilder();
        for (Node other : seeds()) {
            seeds.append(seeds.length() == 0 ? "" : ",").append('"').append(other.ip).append(':').append(controlPort).append('"');
        }
        return """
            {"node":"front-%1$s","role":"node","machineClass":"front","serves":["front","control"],"ip":"%2$s",
            "zone":"%1$s","region":"r","internalPorts":[%3$d,%4$d],"seeds":[%5$s],"bootstrap":true,"countsAsLoss":false,
            "discovery":"platform","entry":"vip","heartbeatMs":1200,
            "contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
            "zones":{"z1":"r","z2":"r","z3":"r"},
            "listen":{"front":"%2$s:%6$d","ready":"%2$s:%7$d","control":"%2$s:%8$d"},
            "limits":{"cpuShare":0.75,"cores":1,"memoryMb":430,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
            "tolerate":{"machines":2,"zones":0,"regions":0},
            "bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
            "lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"retryBudgetRatio":0.2,
            "budgetWindowS":10,"budgetSlack":54,"recoveryS":12,"passMs":120,"retryAfterS":0,"requireFencing":true,
            "leaseMs":3000,"thawMs":300,"ceilingWindowS":5,"ceilingOverage":1.1,"version_ms":5000},
            "platform":{"address":"%9$s","form":"read","writesPerS":400,"readsPerS":2000,"historyS":20,
            "valueBytes":1048576,"ttlMinMs":1000}}
            """.formatted(node.zone, node.ip, peerPort, peerPort + 1, seeds, frontPort, readyPort, controlPort, store);
    }
}
