import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Case: all machines but one are lost at once. All replicas run one software version. Consumers take their streams up
 * at the machine that is left, which gave no orders before.
 */
final class SoleSurvivorCase {
    private static final String SERVICE = "llm-a";
    private static final String HOST = "ficu95.example";
    private static final String PREFIX = "/lohu930/";
    private static final String[] ZONES = {"z1", "z1", "z1", "z2", "z3"};
    private static final int REPLICAS = 12;
    private static final int ADAPTERS = 150;
    private static final long EVENT_MILLIS = 60;
    private static final int PER_SECOND = 20;

    /** Nodes claim replicas, with an order to each, within a few seconds of their start. */
    private static final long SETTLED_MILLIS = 6_000;
    private static final long CALM_MILLIS = 40_000;
    private static final long WATCH_MILLIS = 12_000;

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
        Clock.sleep(SETTLED_MILLIS);
        List<Nodes.Node> live = new CopyOnWriteArrayList<>(nodes.all);
        Streams client = new Streams(nodes, live, record, HOST, PREFIX + "2f");
        List<Streams.Stream> streams = Collections.synchronizedList(new ArrayList<>());
        List<Thread> consumers = Collections.synchronizedList(new ArrayList<>());
        long begin = Clock.millis();
        long end = begin + CALM_MILLIS + WATCH_MILLIS;
        Thread traffic = new Thread(() -> {
            for (int n = 0; Clock.millis() < end; n++) {
                String name = "c" + n;
                Random random = new Random();
                // A few adapters get most of the requests.
                String model = Engine.MODEL + "/a" + (1 + (int) (ADAPTERS * Math.pow(random.nextDouble(), 4)));
                Thread consumer = new Thread(() -> streams.add(client.play(name, model, random)));
                consumer.setDaemon(true);
                consumers.add(consumer);
                consumer.start();
                Clock.sleepUntil(begin + (n + 1) * 1_000L / PER_SECOND);
            }
        });
        traffic.setDaemon(true);
        traffic.start();
        Clock.sleepUntil(begin + CALM_MILLIS);
        long lostAt = Clock.millis();
        Nodes.Node left = withoutOrders(live, engines, begin - SETTLED_MILLIS);
        if (trouble) {
            live.removeIf(node -> node != left);
            List<Thread> kills = new ArrayList<>();
            for (Nodes.Node node : nodes.all) if (node != left) kills.add(new Thread(node::kill));
            for (Thread kill : kills) kill.start();
            for (Thread kill : kills) kill.join();
            record.say("all machines but " + left.ip + " are lost");
        }
        traffic.join();
        for (Thread consumer : new ArrayList<>(consumers)) consumer.join(16_000);
        nodes.killAll();
        return judge(new ArrayList<>(streams), lostAt, end, trouble, record);
    }

    private static boolean judge(List<Streams.Stream> streams, long lostAt, long end, boolean trouble, Record record) {
        long takenUp = streams.stream().filter(stream -> stream.takenUpAt > 0).count();
        long wentOn = streams.stream().filter(stream -> stream.takenUpAt > 0 && stream.wentOn).count();
        long fresh = streams.stream().filter(stream -> stream.sentAt > lostAt + 1_000).count();
        long begun = streams.stream().filter(stream -> stream.sentAt > lostAt + 1_000 && stream.begunBy != null).count();
        record.say(takenUp + " streams were taken up again, " + wentOn + " of them went on; of " + fresh
            + " new streams sent after the loss " + begun + " began (LOST: under half of that share go on, of 12 or more)");
        if (fresh == 0 || begun * 2 < fresh) throw new IllegalStateException("fewer than half of the new streams began");
        if (trouble && takenUp < 12) throw new IllegalStateException("fewer than 12 streams were taken up");
        return takenUp < 12 || (double) wentOn / takenUp >= 0.5 * begun / fresh;
    }

    /** A machine that has given no order since all were ready for a moment. */
    private static Nodes.Node withoutOrders(List<Nodes.Node> live, List<Engine> engines, long from) {
        Set<String> holders = new HashSet<>();
        for (Engine engine : engines) {
            synchronized (engine) {
                for (Engine.Order order : engine.orders) if (order.at() >= from) holders.add(order.holder());
            }
        }
        for (Nodes.Node node : live) if (!holders.contains(node.ip)) return node;
        throw new IllegalStateException("each machine gives orders");
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
