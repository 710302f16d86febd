import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Case: the three machines that the settings name as seeds are lost; later the processes of the machines that give
 * no orders are killed at one moment and start again.
 */
final class LostSeedsCase {
    private static final String SERVICE = "llm-a";
    private static final String HOST = "ficu95.example";
    private static final String PREFIX = "/lohu930/";
    private static final String[] ZONES = {"z1", "z1", "z1", "z1", "z1", "z2", "z3"};
    private static final int REPLICAS = 9;
    private static final int ADAPTERS = 3_000;
    private static final long EVENT_MILLIS = 25;
    private static final int PER_SECOND = 30;
    private static final long LEASE_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 3_000;

    /** Longer than the claims of lost machines are kept. */
    private static final long SETTLE_MILLIS = 20_000;
    private static final long RESTART_MILLIS = 1_000;
    private static final long WATCH_MILLIS = 35_000;

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
        store.put("op/config", config());
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            engines.add(new Engine("i-" + (char) ('a' + i), network + (101 + i), "z" + (1 + i % 3), SERVICE, "1.9.0", 64, 20,
                EVENT_MILLIS, store, record));
        }
        Nodes nodes = new Nodes(logs, network, store.address(), ZONES);
        nodes.startAll();
        record.say("nodes are ready");
        List<Nodes.Node> live = new CopyOnWriteArrayList<>(nodes.all);
        Map<String, List<long[]>> disturbed = new HashMap<>();
        Streams client = new Streams(nodes, live, record, HOST, PREFIX + "2f");
        List<Streams.Stream> streams = Collections.synchronizedList(new ArrayList<>());
        boolean[] ended = {false};
        Thread traffic = new Thread(() -> {
            long begin = Clock.millis();
            for (int n = 0; !ended[0]; n++) {
                String name = "c" + n;
                Random random = new Random();
                // A few adapters get most of the requests.
                String model = Engine.MODEL + "/a" + (1 + (int) (ADAPTERS * Math.pow(random.nextDouble(), 6)));
                Http.daemon(() -> streams.add(client.play(name, model, random)));
                Clock.sleepUntil(begin + (n + 1) * 1_000L / PER_SECOND);
            }
        });
        traffic.setDaemon(true);
        traffic.start();
        Clock.sleep(8_000);
        if (trouble) {
            for (Nodes.Node seed : nodes.seeds()) {
                live.remove(seed);
                seed.kill();
                record.say("machine " + seed.ip + " of " + seed.zone + ", a seed, is lost");
            }
        }
        long settledFrom = Clock.millis() + SETTLE_MILLIS - 8_000;
        Clock.sleep(SETTLE_MILLIS);
        if (trouble) {
            List<Nodes.Node> idle = withoutOrders(live, engines, settledFrom);
            for (Nodes.Node node : idle) {
                live.remove(node);
                disturbed.computeIfAbsent(node.ip, key -> new ArrayList<>()).add(new long[] {Clock.millis(), Long.MAX_VALUE});
                node.kill();
                record.say("the process of machine " + node.ip + " is killed, which gave no orders");
            }
            Clock.sleep(RESTART_MILLIS);
            for (Nodes.Node node : idle) node.start();
            for (Nodes.Node node : idle) {
                while (!node.ready()) Clock.sleep(50);
                disturbed.get(node.ip).get(0)[1] = Clock.millis();
                record.say("machine " + node.ip + " is back and ready");
                live.add(node);
            }
        }
        long from = Clock.millis();
        Clock.sleep(WATCH_MILLIS);
        ended[0] = true;
        nodes.killAll();
        long complete = streams.stream().filter(stream -> stream.complete).count();
        record.say(streams.size() + " streams ended, " + complete + " of them complete");
        if (complete * 2 < streams.size()) throw new IllegalStateException("fewer than half of the streams were served");
        return judge(engines, disturbed, from, record);
    }

    /** The machines that have given no order since {@code from}. */
    private static List<Nodes.Node> withoutOrders(List<Nodes.Node> live, List<Engine> engines, long from) {
        Set<String> holders = new HashSet<>();
        for (Engine engine : engines) {
            synchronized (engine) {
                for (Engine.Order order : engine.orders) if (order.at() >= from) holders.add(order.holder());
            }
        }
        List<Nodes.Node> idle = new ArrayList<>();
        for (Nodes.Node node : live) if (!holders.contains(node.ip)) idle.add(node);
        if (idle.isEmpty() || idle.size() == live.size()) throw new IllegalStateException("machines without orders: " + idle.size());
        return idle;
    }

    /** Whether no replica was ordered by two machines in touch that take turns within the lease. */
    private static boolean judge(List<Engine> engines, Map<String, List<long[]>> disturbed, long from, Record record) {
        int turns = 0;
        int both = 0;
        for (Engine engine : engines) {
            Engine.Order last = null;
            Engine.Order other = null;
            synchronized (engine) {
                for (Engine.Order order : engine.orders) {
                    if (order.at() < from || !inTouch(order, disturbed)) continue;
                    if (last != null && !last.holder().equals(order.holder())) {
                        if (order.at() - last.at() < LEASE_MILLIS) {
                            turns++;
                            record.line("replica " + engine.id + ": " + order.holder() + " orders " + (order.at() - last.at())
                                + " ms after " + last.holder());
                        }
                        if (other != null && other.holder().equals(order.holder()) && order.at() - other.at() < LEASE_MILLIS) both++;
                        other = last;
                    }
                    last = order;
                }
            }
        }
        record.say("orders of another machine in touch within " + LEASE_MILLIS + " ms: " + turns
            + "; turns back to the first one within that time: " + both + " (a turn back breaks ONE)");
        return both == 0;
    }

    private static boolean inTouch(Engine.Order order, Map<String, List<long[]>> disturbed) {
        for (long[] span : disturbed.getOrDefault(order.holder(), List.of())) {
            if (order.at() >= span[0] && order.at() <= span[1] + CONTACT_MILLIS) return false;
        }
        return true;
    }

    private static String config() {
        return """
            {"version":7,"routes":[{"name":"draft","host":"%s","prefix":"%s","type":"streaming","timeoutMs":15000,
            "targetLatencyMs":600,"targetGapMs":250,"priority":1,"service":"%s","maxAttempts":2,"allowResume":true}],
            "services":[{"name":"%s","maxConnections":360,"healthPath":"/health","engine":{"slots":64,"kvCapacity":141787,
            "weightsMb":75500.0,"adapterSlots":20,"loadsPerS":2.2,
            "models":[{"name":"%s","weightsMb":72700.0,"loadS":0.61,"adapters":3000,"adapterMb":66.0}]}}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """.formatted(HOST, PREFIX, SERVICE, SERVICE, Engine.MODEL);
    }
}
