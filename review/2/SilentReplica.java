package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine is stopped as planned; meanwhile a sound replica falls silent for a second or so and goes on. */
final class SilentReplica {
    /** As in the sheet of the large deployment: pauses of 200 ms, 86 events, an aim of 1,002 ms. */
    private static final int GAP_MILLIS = 200;
    private static final int TARGET_MILLIS = 1_002;
    private static final int EVENTS = 86;
    private static final long SILENCE_MILLIS = 1_400;
    private static final long BETWEEN_SILENCES_MILLIS = 50;
    private static final long GRACE_MILLIS = 8_000;

    /** What a consumer got of a stream that it asked for at [sentAt]. */
    private record Got(String request, String node, long sentAt, long endedAt, Client.Answer answer) {
    }

    private SilentReplica() {
    }

    public static void main(String[] arguments) {
        Run.main(arguments[0], SilentReplica::play);
    }

    private static boolean play(Run run) throws Exception {
        List<String> ips = List.of("127.0.0.2", "127.0.0.3", "127.0.0.4");
        int[] ports = Run.freePorts(5, ips);
        Store store = new Store();
        String address = store.listen();
        store.put("op/config", Config.state(1,
            Config.route("nightly", "/nightly/", "streaming", "llm", 1, false, TARGET_MILLIS, GAP_MILLIS), Config.engineService("llm")));
        List<Replica> engines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Replica engine = new Replica(run, "i-2a" + i + "91c2e", "llm", "z" + (1 + i), 64, 20);
            engine.events = EVENTS;
            engine.heartbeat(store);
            engines.add(engine);
        }
        List<Run.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) nodes.add(run.new Node(ips.get(i), "z" + (1 + i), address, ports, ips));
        for (Run.Node node : nodes) node.start();
        run.await("readiness", 20_000, () -> nodes.stream().allMatch(Run.Node::isReady));
        run.pause(3_000);
        List<Got> all = new CopyOnWriteArrayList<>();
        AtomicInteger numbers = new AtomicInteger();
        List<Thread> consumers = new ArrayList<>();
        long stopAt = run.now() + 4_000;
        for (int i = 0; i < 12; i++) {
            Run.Node node = nodes.get(i % 3);
            long first = run.now() + i * 200;
            Thread consumer = new Thread(() -> {
                run.pauseUntil(first);
                while (run.now() < stopAt) all.add(ask(run, node, "n" + numbers.incrementAndGet()));
            });
            consumer.start();
            consumers.add(consumer);
        }
        run.pauseUntil(stopAt);
        Run.Node stopped = nodes.get(0);
        run.log("SIGTERM to " + stopped.ip);
        stopped.terminate();
        run.pause(300);
        if (Run.TROUBLE) {
            for (Replica engine : engines) {
                engine.silentUntil = run.now() + SILENCE_MILLIS;
                run.log(engine.id + " falls silent for " + SILENCE_MILLIS + " ms and goes on");
                run.pause(BETWEEN_SILENCES_MILLIS);
            }
        }
        for (Thread consumer : consumers) consumer.join();
        return isWhole(run, all, stopped.ip, stopAt);
    }

    private static Got ask(Run run, Run.Node node, String id) {
        Map<String, String> headers = Map.of("Host", Config.HOST, "X-Apricotslip-Request-Id", id, "X-Apricotslip-Model", "m0",
            "X-Apricotslip-Token-Usage", "1460,258", "X-Apricotslip-Prompt-Prefix", "5c1e07a2:800," + id.substring(1) + "0:660",
            "X-Apricotslip-Deadline-Ms", "15000");
        long sentAt = run.now();
        Client.Answer answer;
        try {
            answer = Client.send(node.ip, node.callerPort(), "POST", "/nightly/x", headers, "prompt", 15_500);
        } catch (IOException e) {
            answer = new Client.Answer(0, Map.of(), "", false);
        }
        Got got = new Got(id, node.ip, sentAt, run.now(), answer);
        run.note(run.now(), "answer " + got);
        return got;
    }

    /**
     * Whether all answers of the machine that was stopped were whole. Its requests were sent before it was stopped, and
     * would have ended long before the last sixth of its grace period.
     */
    private static boolean isWhole(Run run, List<Got> all, String stopped, long stopAt) {
        int cut = 0;
        int checked = 0;
        for (Got got : all) {
            if (!got.node().equals(stopped) || got.endedAt() < stopAt) continue;
            checked++;
            if (got.answer().complete() || got.endedAt() > stopAt + GRACE_MILLIS * 5 / 6) continue;
            cut++;
            run.log("broken: " + got.request() + " at " + got.node() + " was sent " + (stopAt - got.sentAt())
                + " ms before SIGTERM and ends without a complete answer " + (got.endedAt() - stopAt) + " ms after it: "
                + got.answer());
        }
        run.log("streams under way at the machine that is stopped: " + checked + ", cut: " + cut);
        if (checked == 0) throw new IllegalStateException("no stream was under way");
        return cut == 0;
    }
}
