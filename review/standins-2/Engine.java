import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for a model replica: streams, orders, reports, status checks and its entry in the store, as PROTOCOL.md has
 * them. It holds one model and a few adapters.
 */
final class Engine {
    static final String MODEL = "m0";
    static final int EVENTS = 57;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long LOAD_MILLIS = 250;
    final String id;
    final String zone;
    private final String service;
    private final Store store;
    private final Record record;
    private final int slots;
    private final int adapterSlots;
    private final long eventMillis;
    final Http.Server server;

    /** Version of the software that runs now. */
    volatile String software;
    private volatile long born;
    private volatile boolean running = true;
    private int sequence;
    private String registered;
    private long highestFence;
    private final Set<String> adapters = new LinkedHashSet<>();
    private final Set<String> incoming = new LinkedHashSet<>();

    /** The adapter whose unload waits for its runs; the replica carries out no other order meanwhile. */
    private String unloading;
    private final Map<String, Integer> users = new LinkedHashMap<>();
    final AtomicInteger active = new AtomicInteger();

    /** Times that it was ordered to hold more adapters than it has places. */
    final AtomicInteger overfilled = new AtomicInteger();

    /** An order that arrived: its holder, its generation number and how it was answered. */
    record Order(long at, String holder, long fence, int status, String what) {}

    final List<Order> orders = new ArrayList<>();

    Engine(String id, String host, String zone, String service, String software, int slots, int adapterSlots,
        long eventMillis, Store store, Record record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.software = software;
        this.slots = slots;
        this.adapterSlots = adapterSlots;
        this.eventMillis = eventMillis;
        this.store = store;
        this.record = record;
        born = System.currentTimeMillis();
        server = new Http.Server(host, 0, this::handle);
        register();
        Http.daemon(() -> {
            // Replicas write at different moments.
            Clock.sleep(Math.floorMod(id.hashCode(), HEARTBEAT_MILLIS));
            while (true) {
                Clock.sleep(HEARTBEAT_MILLIS);
                if (running) register();
            }
        });
    }

    /** Ends at once, as a process that is killed. */
    void crash() {
        running = false;
        record.line("replica " + id + " (software " + software + ") crashes with " + active.get() + " requests");
        server.crash();
    }

    /** Starts again under its id, empty, with the software {@code version}; registers as soon as it listens. */
    void startAgain(String version) throws IOException {
        synchronized (this) {
            software = version;
            born = System.currentTimeMillis();
            sequence = 0;
            highestFence = 0;
            adapters.clear();
            incoming.clear();
            unloading = null;
            users.clear();
        }
        server.startAgain();
        running = true;
        register();
        record.line("replica " + id + " is back with software " + version + ", born " + born);
    }

    /** Writes the entry, which changes in the store when more than its sequence changes. */
    private synchronized void register() {
        sequence++;
        String rest = """
            "service":"%s","address":"%s:%d","zone":"%s","version":"%s","slots":%d,"state":"ready","coldRemainingMs":0,
            "born":%d,"models":%s,"stage":"both\"""".formatted(
            service, server.host, server.port, zone, software, slots, born, models());
        if (rest.equals(registered)) return;
        registered = rest;
        store.put("servers/" + id, "{\"sequence\":" + sequence + "," + rest + "}");
    }

    private synchronized String models() {
        List<String> names = new ArrayList<>();
        for (String adapter : adapters) names.add('"' + adapter + "@1\"");
        return "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[" + String.join(",", names) + "]}]";
    }

    private boolean handle(Http.Message request, Socket connection, OutputStream out) throws IOException {
        String requestId = request.field("X-Apricotslip-Request-Id");
        String target = request.field("X-Apricotslip-Target-Instance");
        String head = requestId == null ? "" : "X-Apricotslip-Request-Id: " + requestId + "\r\n";
        if (target != null && !target.equals(id)) {
            Http.write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Apricotslip-Not-Executed: 1\r\n" + head, "");
            return true;
        }
        switch (request.path()) {
            case "/health" -> Http.write(out, "HTTP/1.1 200 OK\r\nX-Apricotslip-Instance-Id: " + id + "\r\n", "");
            case "/apricotslip/report" -> Http.write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", report());
            case "/apricotslip/order" -> Http.write(out, order(request.text()), "");
            default -> {
                if (requestId != null) return stream(request, requestId, head, out);
                Http.write(out, "HTTP/1.1 400 Bad Request\r\nX-Apricotslip-Not-Executed: 1\r\n", "");
            }
        }
        return true;
    }

    private synchronized String report() {
        List<String> names = new ArrayList<>();
        for (String adapter : incoming) names.add("\"" + MODEL + "/" + adapter + "@1\"");
        return """
            {"stage":"both","models":%s,"busy":false,"sequence":%d,"queued":0,"running":%d,"kvUsed":1000,"kvTotal":141787,
            "handles":0,"incoming":[%s],"born":%d}""".formatted(models(), sequence, active.get(), String.join(",", names), born);
    }

    private synchronized String order(String body) {
        String line = carryOut(body);
        String what = field(body, "operation") + " " + field(body, "adapter");
        Order order = new Order(Clock.millis(), field(body, "holder"), Long.parseLong(field(body, "fencingToken")),
            Integer.parseInt(line.split(" ")[1]), what);
        orders.add(order);
        record.line("replica " + id + " answers " + order.status + " to " + what + " of " + order.holder + " with "
            + order.fence);
        return line;
    }

    private String carryOut(String body) {
        long fence = Long.parseLong(field(body, "fencingToken"));
        if (fence < highestFence) return "HTTP/1.1 412 Precondition Failed\r\n";
        String adapter = field(body, "adapter");
        boolean repeated = adapter != null && adapter.equals(unloading) && field(body, "operation").equals("unload");
        if (repeated) return "HTTP/1.1 202 Accepted\r\n";
        if (unloading != null) return "HTTP/1.1 409 Conflict\r\n";
        highestFence = fence;
        if (adapter == null || adapter.equals("null")) return "HTTP/1.1 200 OK\r\n";
        if (field(body, "operation").equals("load")) {
            if (adapters.contains(adapter)) return "HTTP/1.1 200 OK\r\n";
            if (!incoming.contains(adapter)) {
                incoming.add(adapter);
                long life = born;
                if (adapters.size() + incoming.size() > adapterSlots) {
                    overfilled.incrementAndGet();
                    record.line("replica " + id + " is ordered too much: " + adapters + " and " + incoming);
                }
                Http.daemon(() -> {
                    Clock.sleep(LOAD_MILLIS);
                    synchronized (this) {
                        if (born == life && incoming.remove(adapter)) adapters.add(adapter);
                    }
                });
            }
            return "HTTP/1.1 202 Accepted\r\n";
        }
        if (!adapters.contains(adapter)) return "HTTP/1.1 200 OK\r\n";
        if (users.getOrDefault(adapter, 0) > 0) {
            unloading = adapter;
            return "HTTP/1.1 202 Accepted\r\n";
        }
        adapters.remove(adapter);
        return "HTTP/1.1 200 OK\r\n";
    }

    private static String field(String body, String name) {
        Matcher field = Pattern.compile("\"" + name + "\":\"?([^,\"}]+)").matcher(body);
        return field.find() ? field.group(1) : null;
    }

    /** Writes the events after {@code Last-Event-Id}; a replica goes on with any stream that it is given. */
    private boolean stream(Http.Message request, String requestId, String head, OutputStream out) throws IOException {
        String model = request.field("X-Apricotslip-Model");
        String adapter = model.indexOf('/') < 0 ? null : model.substring(model.indexOf('/') + 1);
        String last = request.field("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        String version;
        long life;
        synchronized (this) {
            version = software;
            life = born;
            boolean holds = adapter == null || (adapters.contains(adapter) && !adapter.equals(unloading));
            String refusal = !holds ? "421 Misdirected Request" : active.get() >= slots ? "503 Service Unavailable" : null;
            if (refusal != null) {
                Http.write(out, "HTTP/1.1 " + refusal + "\r\nX-Apricotslip-Not-Executed: 1\r\n" + head, "");
                return true;
            }
            active.incrementAndGet();
            if (adapter != null) users.merge(adapter, 1, Integer::sum);
        }
        record.line("replica " + id + " (software " + version + ", born " + life + ") runs " + requestId + " from event " + from);
        try {
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + head
                + "X-Apricotslip-Response-Seal: " + id + "." + requestId + "\r\nX-Apricotslip-Weight-Versions: 1\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            for (int event = from; event <= EVENTS; event++) {
                Clock.sleep(eventMillis);
                String text = "id: " + event + "\ndata: " + version + " " + id + " token " + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return true;
        } finally {
            active.decrementAndGet();
            synchronized (this) {
                if (adapter != null && born == life) {
                    users.merge(adapter, -1, Integer::sum);
                    if (adapter.equals(unloading) && users.get(adapter) == 0) {
                        adapters.remove(adapter);
                        unloading = null;
                    }
                }
            }
        }
    }
}
