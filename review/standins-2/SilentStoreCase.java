import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: the open channels to the store go silent, new ones work; right after that a replica that never reports
 * `draining` is taken away: its entry is removed, and it serves for some seconds before it exits.
 */
final class SilentStoreCase {
    private static final String SERVICE = "book-a";
    private static final String HOST = "ficu95.example";
    private static final String PREFIX = "/puxa403/";
    private static final int PER_SECOND = 40;
    private static final long TRAFFIC_MILLIS = 25_000;
    private static final long CALM_MILLIS = 8_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 2_000;

    /** The replica serves for `drainMs` and "a little longer (at times many seconds)". */
    private static final long SERVES_MILLIS = 4_500;

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(folder.resolve("record.txt"));
        int code = 2;
        Path logs = Files.createTempDirectory("review");
        try {
            code = play(record, logs, trouble) ? 0 : 1;
        } catch (Exception e) {
            record.say("could not run: " + e);
            e.printStackTrace();
        } finally {
            record.close();
        }
        System.exit(code);
    }

    private static boolean play(Record record, Path logs, boolean trouble) throws Exception {
        String network = Nodes.newNetwork();
        Store store = new Store(network + "2");
        store.put("op/config", """
            {"version":7,"routes":[{"name":"hold","host":"%s","prefix":"%s","type":"unsafe","timeoutMs":1200,
            "targetLatencyMs":400,"priority":2,"service":"%s","maxAttempts":1}],
            "services":[{"name":"%s","maxConnections":100,"healthPath":"/health"}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """.formatted(HOST, PREFIX, SERVICE, SERVICE));
        List<Plain> replicas = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            replicas.add(new Plain("i-" + (char) ('a' + i), network + (101 + i), "z" + (i + 1), SERVICE, 120, store, record));
        }
        Nodes nodes = new Nodes(logs, network, store.address(), "z1", "z2", "z3");
        nodes.startAll();
        record.say("nodes are ready");
        Clock.sleep(2_000);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> consumers = new ArrayList<>();
        long begin = Clock.millis();
        Random random = new Random();
        Plain leaving = replicas.get(0);
        long[] boundAt = {Long.MAX_VALUE};
        Thread operator = new Thread(() -> {
            Clock.sleepUntil(begin + CALM_MILLIS);
            long silentAt = Clock.millis();
            if (trouble) {
                store.silenceOpenChannels();
                record.line("the open channels to the store go silent");
            }
            Clock.sleep(100);
            store.put("servers/" + leaving.id, null);
            long removedAt = Clock.millis();
            record.line("the entry of " + leaving.id + " is removed");
            boundAt[0] = Math.max(removedAt + DRAIN_MILLIS, trouble ? silentAt + CONTACT_MILLIS : 0);
            Clock.sleep(SERVES_MILLIS);
            leaving.server.crash();
            record.line("replica " + leaving.id + " exits");
        });
        operator.start();
        while (Clock.millis() < begin + TRAFFIC_MILLIS) {
            Nodes.Node node = nodes.all.get(random.nextInt(nodes.all.size()));
            Thread consumer = new Thread(() -> {
                String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
                sent.incrementAndGet();
                record.line("consumer sends " + id + " to " + node.ip);
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(node.ip, nodes.frontPort), 1_000);
                    socket.setSoTimeout(3_500);
                    Http.write(socket.getOutputStream(), "POST " + PREFIX + "2f HTTP/1.1\r\nHost: " + HOST
                        + "\r\nX-Apricotslip-Request-Id: " + id + "\r\nX-Apricotslip-Deadline-Ms: 2500\r\n", "{\"hold\":1}");
                    Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
                    boolean success = answer != null && answer.status() / 100 == 2;
                    boolean whole = success && answer.field("X-Apricotslip-Response-Seal") != null
                        && answer.text().equals(Plain.body(id));
                    if (success) served.incrementAndGet();
                    if (!whole) lost.incrementAndGet();
                    record.line("consumer gets " + (answer == null ? "no answer" : answer.status()) + " for " + id);
                } catch (IOException e) {
                    lost.incrementAndGet();
                    record.line("consumer loses " + id + ": " + e.getMessage());
                }
            });
            consumers.add(consumer);
            consumer.start();
            Clock.sleepUntil(begin + consumers.size() * 1_000L / PER_SECOND);
        }
        for (Thread consumer : consumers) consumer.join(5_000);
        nodes.killAll();
        long late = leaving.arrivals.stream().filter(at -> at > boundAt[0]).count();
        record.say(sent + " requests, " + served + " successes; " + late + " reached the replica that had left later than allowed (1 breaks DRAIN); "
            + lost + " requests had no success");
        if (served.get() * 2 < sent.get()) throw new IllegalStateException("fewer than half of the requests were served");
        return late == 0;
    }
}
