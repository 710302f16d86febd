package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The store cuts watches that wait; then a replica removes its entry without having reported that it drains. */
final class CutWatch {
    /** A replica serves for drainMs after the removal and a little longer. */
    private static final long LINGER_MILLIS = 400;
    private static final long AFTER_CUT_MILLIS = 100;

    private CutWatch() {
    }

    public static void main(String[] arguments) {
        Run.main(arguments[0], CutWatch::play);
    }

    private static boolean play(Run run) throws Exception {
        List<String> ips = List.of("127.0.0.2", "127.0.0.3", "127.0.0.4");
        int[] ports = Run.freePorts(5, ips);
        Store store = new Store();
        String address = store.listen();
        store.put("op/config", Config.state(1,
            Config.route("hold", "/hold/", "unsafe", "book", 1, false, 193, 0) + ","
                + Config.route("stock", "/stock/", "safe", "book", 2, false, 193, 0),
            Config.plainService("book")));
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Replica replica = new Replica(run, "i-7c" + i + "3fa91", "book", "z" + (1 + i), 6, 0);
            replica.heartbeat(store);
            replicas.add(replica);
        }
        List<Run.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) nodes.add(run.new Node(ips.get(i), "z" + (1 + i), address, ports, ips));
        for (Run.Node node : nodes) node.start();
        run.await("readiness", 20_000, () -> nodes.stream().allMatch(Run.Node::isReady));
        run.pause(4_000);
        long end = run.now() + 12_000;
        Map<String, Long> sentAt = new ConcurrentHashMap<>();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger numbers = new AtomicInteger();
        List<Thread> consumers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            Run.Node node = nodes.get(i % 3);
            Thread consumer = new Thread(() -> {
                while (run.now() < end) ask(run, node, "h" + numbers.incrementAndGet(), sentAt, lost, served);
            });
            consumer.start();
            consumers.add(consumer);
        }
        run.pause(3_000);
        run.await("waiting watches of all machines", 5_000, () -> store.waitingWatches() == nodes.size());
        if (Run.TROUBLE) {
            store.cutWatches();
            run.log("the store has cut the watches that wait");
        }
        run.pause(AFTER_CUT_MILLIS);
        Replica leaving = replicas.get(0);
        store.put("servers/" + leaving.id, null);
        long removedAt = run.now();
        run.log("the store has confirmed that the entry of " + leaving.id + " is removed");
        run.pauseUntil(removedAt + Run.DRAIN_MILLIS + LINGER_MILLIS);
        leaving.exit();
        run.log(leaving.id + " has ended");
        for (Thread consumer : consumers) consumer.join();
        run.noteLogs("event=store_");
        run.noteLogs("event=server_");
        int late = 0;
        long latest = 0;
        for (Replica.Arrival arrival : leaving.arrivals) {
            long after = sentAt.get(arrival.request()) - removedAt;
            latest = Math.max(latest, after);
            if (after <= Run.DRAIN_MILLIS) continue;
            late++;
            if (late <= 5) run.log("broken: " + arrival.request() + " was sent " + after + " ms after the confirmation and reaches " + leaving.id);
        }
        run.log("served=" + served.get() + " answered 502=" + lost.get() + " late arrivals=" + late
            + " latest sent " + latest + " ms after the confirmation");
        if (served.get() < 100) throw new IllegalStateException("too little was served");
        return late == 0;
    }

    private static void ask(Run run, Run.Node node, String id, Map<String, Long> sentAt, AtomicInteger lost, AtomicInteger served) {
        boolean hold = id.hashCode() % 3 != 0;
        Map<String, String> headers = Map.of("Host", Config.HOST, "X-Apricotslip-Request-Id", id, "X-Apricotslip-Deadline-Ms", "2500");
        sentAt.put(id, run.now());
        try {
            Client.Answer answer = Client.send(node.ip, node.callerPort(), hold ? "POST" : "GET", hold ? "/hold/x" : "/stock/x",
                headers, hold ? "body" : "", 3_000);
            if (answer.status() == 200 && answer.complete()) served.incrementAndGet();
            if (answer.status() == 502) lost.incrementAndGet();
            run.note(run.now(), "answer " + id + " at " + node.ip + " " + answer);
        } catch (IOException e) {
            run.note(run.now(), "answer " + id + " at " + node.ip + " none: " + e);
        }
        Run.pause(60);
    }
}
