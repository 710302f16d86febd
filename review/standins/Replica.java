package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound replica: an engine if it has adapter slots, otherwise a plain one. */
final class Replica {
    /** A request that reached this replica at [at], from whichever machine. */
    record Arrival(long at, String request, String path) {
    }

    /** An order that this replica answered with [status]. */
    record Order(long at, String holder, long fence, String what, int status) {
    }

    private static final int QUEUE = 24;
    private static final int MAX_IN_TRANSIT = 4;
    private static final long LOAD_MILLIS = 250;
    private static final long REPORT_LAG_MILLIS = 200;
    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\":\"?([^\",}]+)\"?");

    final String id;
    final String service;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    final List<String> runs = new CopyOnWriteArrayList<>();
    final List<Order> orders = new CopyOnWriteArrayList<>();

    /** Time that the work on a plain request takes, and the pause between two events of a stream. */
    volatile long workMillis = 43;
    volatile long pauseMillis = 40;
    volatile int events = 10;

    /** Whether its answers say that it leaves. */
    volatile boolean leaving;

    /** Until this time the replica sends nothing. */
    volatile long silentUntil;

    private final Run run;
    private final String zone;
    private final int slots;
    private final int adapterSlots;
    private final long born = System.currentTimeMillis();
    private final Semaphore places;
    private final AtomicInteger waiting = new AtomicInteger();
    private final HttpServer server;
    private final Set<String> adapters = new LinkedHashSet<>();
    private final Set<String> recent = new HashSet<>();
    private final Map<String, Long> loading = new HashMap<>();
    private final Set<String> unloading = new HashSet<>();
    private final Map<String, Integer> users = new HashMap<>();
    private final ArrayDeque<Map.Entry<Long, String>> reports = new ArrayDeque<>();
    private long highestFence;
    private int sequence;

    Replica(Run run, String id, String service, String zone, int slots, int adapterSlots) throws IOException {
        this.run = run;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.adapterSlots = adapterSlots;
        places = new Semaphore(slots);
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/health", this::health);
        server.createContext("/apricotslip/report", this::report);
        server.createContext("/apricotslip/order", this::order);
        server.createContext("/", this::request);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Ends: its channels are closed. */
    void exit() {
        server.stop(0);
    }

    String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"stage\":\"both\","
            + "\"born\":" + born + ",\"models\":" + models() + ",\"sequence\":" + sequence + "}";
    }

    /** Writes the entry about every 1.2 s, when more than its sequence has changed. */
    void heartbeat(Store store) {
        Thread thread = new Thread(() -> {
            String last = "";
            while (true) {
                String models = models();
                if (!models.equals(last)) store.put("servers/" + id, entry("ready"));
                last = models;
                Run.pause(1_150 + Math.abs(id.hashCode()) % 100);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized String models() {
        finishLoads();
        if (adapterSlots == 0) return "[]";
        List<String> names = new ArrayList<>();
        for (String adapter : adapters) names.add("\"" + adapter + "@0\"");
        return "[{\"name\":\"m0\",\"version\":1,\"adapters\":[" + String.join(",", names) + "]}]";
    }

    private void health(HttpExchange call) throws IOException {
        call.getResponseHeaders().add("X-Apricotslip-Instance-Id", id);
        if (leaving) call.getResponseHeaders().add("Server-Leaving", "1");
        end(call, leaving ? 503 : 200, "");
    }

    private synchronized void report(HttpExchange call) throws IOException {
        finishLoads();
        List<String> incoming = new ArrayList<>();
        for (String adapter : loading.keySet()) incoming.add("\"m0/" + adapter + "@0\"");
        String own = "{\"stage\":\"both\",\"born\":" + born + ",\"models\":" + models() + ",\"incoming\":["
            + String.join(",", incoming) + "],\"busy\":false,\"sequence\":" + sequence
            + ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":141787,\"handles\":0}";
        end(call, 200, reportAt(run.now() - REPORT_LAG_MILLIS, own));
    }

    private String reportAt(long at, String current) {
        String found = null;
        for (Map.Entry<Long, String> entry : reports) if (entry.getKey() <= at) found = entry.getValue();
        return found == null ? current : found;
    }

    private void keepReport() {
        List<String> incoming = new ArrayList<>();
        for (String adapter : loading.keySet()) incoming.add("\"m0/" + adapter + "@0\"");
        List<String> names = new ArrayList<>();
        for (String adapter : adapters) names.add("\"" + adapter + "@0\"");
        reports.add(Map.entry(run.now(), "{\"stage\":\"both\",\"born\":" + born + ",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":["
            + String.join(",", names) + "]}],\"incoming\":[" + String.join(",", incoming) + "],\"busy\":false,\"sequence\":" + sequence
            + ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":141787,\"handles\":0}"));
        while (reports.size() > 200) reports.removeFirst();
    }

    private void finishLoads() {
        long now = run.now();
        boolean changed = loading.entrySet().removeIf(e -> {
            if (e.getValue() > now) return false;
            adapters.add(e.getKey());
            recent.add(e.getKey());
            return true;
        });
        if (changed) keepReport();
    }

    private void order(HttpExchange call) throws IOException {
        String body = new String(call.getRequestBody().readAllBytes());
        Map<String, String> fields = new HashMap<>();
        Matcher matcher = FIELD.matcher(body);
        while (matcher.find()) fields.put(matcher.group(1), matcher.group(2));
        int status;
        synchronized (this) {
            finishLoads();
            status = statusOf(call, fields);
            String what = fields.get("operation") + " " + fields.get("model") + "/" + fields.getOrDefault("adapter", "");
            long fence = Long.parseLong(fields.getOrDefault("fencingToken", "0"));
            orders.add(new Order(run.now(), fields.get("holder"), fence, what, status));
        }
        end(call, status, "");
    }

    private int statusOf(HttpExchange call, Map<String, String> fields) {
        String target = call.getRequestHeaders().getFirst("X-Apricotslip-Target-Instance");
        if (target != null && !target.equals(id)) return 421;
        if (!fields.containsKey("holder") || !fields.containsKey("fencingToken")) return 400;
        long fence = Long.parseLong(fields.get("fencingToken"));
        if (fence < highestFence) return 412;
        highestFence = fence;
        String adapter = fields.get("adapter");
        if (adapter == null) return fields.get("operation").equals("load") ? 200 : 400;
        return fields.get("operation").equals("load") ? load(adapter) : unload(adapter);
    }

    private int load(String adapter) {
        if (adapters.contains(adapter) && !unloading.contains(adapter)) return 200;
        if (loading.containsKey(adapter)) return 202;
        if (loading.size() >= MAX_IN_TRANSIT || unloading.contains(adapter)) return 409;
        if (adapters.size() + loading.size() >= adapterSlots) run.log("overload " + id + " is ordered to load too much");
        loading.put(adapter, run.now() + (recent.contains(adapter) ? LOAD_MILLIS / 10 : LOAD_MILLIS));
        sequence++;
        keepReport();
        return 202;
    }

    private int unload(String adapter) {
        if (!adapters.contains(adapter)) return 200;
        if (users.getOrDefault(adapter, 0) > 0) {
            unloading.add(adapter);
            return 202;
        }
        adapters.remove(adapter);
        unloading.remove(adapter);
        sequence++;
        keepReport();
        return 200;
    }

    private void request(HttpExchange call) throws IOException {
        String request = call.getRequestHeaders().getFirst("X-Apricotslip-Request-Id");
        call.getRequestBody().readAllBytes();
        if (request == null) {
            call.getResponseHeaders().add("X-Apricotslip-Not-Executed", "1");
            end(call, 400, "");
            return;
        }
        call.getResponseHeaders().add("X-Apricotslip-Request-Id", request);
        if (!id.equals(call.getRequestHeaders().getFirst("X-Apricotslip-Target-Instance"))) {
            call.getResponseHeaders().add("X-Apricotslip-Instance-Id", id);
            end(call, 421, "");
            return;
        }
        arrivals.add(new Arrival(run.now(), request, call.getRequestURI().getPath()));
        if (leaving) call.getResponseHeaders().add("Server-Leaving", "1");
        if (adapterSlots > 0) stream(call, request); else plain(call, request);
    }

    private void plain(HttpExchange call, String request) throws IOException {
        if (waiting.incrementAndGet() > slots + QUEUE) {
            waiting.decrementAndGet();
            call.getResponseHeaders().add("X-Apricotslip-Not-Executed", "1");
            end(call, 503, "");
            return;
        }
        places.acquireUninterruptibly();
        try {
            runs.add(request);
            Run.pause(workMillis);
            seal(call, request);
            end(call, 200, "answer of " + service + " to " + request);
        } finally {
            places.release();
            waiting.decrementAndGet();
        }
    }

    private void stream(HttpExchange call, String request) throws IOException {
        String model = call.getRequestHeaders().getFirst("X-Apricotslip-Model");
        String adapter = model.contains("/") ? model.substring(model.indexOf('/') + 1) : null;
        int status = adapter == null ? 200 : begin(adapter);
        if (status != 200) {
            call.getResponseHeaders().add(status == 421 ? "X-Apricotslip-Instance-Id" : "X-Apricotslip-Not-Executed", status == 421 ? id : "1");
            end(call, status, "");
            return;
        }
        try {
            runs.add(request);
            seal(call, request);
            call.getResponseHeaders().add("Content-Type", "text/event-stream");
            call.getResponseHeaders().add("X-Apricotslip-Weight-Versions", "1");
            String last = call.getRequestHeaders().getFirst("Last-Event-Id");
            speak();
            call.sendResponseHeaders(200, 0);
            try (OutputStream out = call.getResponseBody()) {
                for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
                    Run.pause(pauseMillis);
                    speak();
                    out.write(("id: " + event + "\ndata: token " + event + " of " + request + "\n\n").getBytes());
                    out.flush();
                }
            }
        } finally {
            if (adapter != null) finish(adapter);
            call.close();
        }
    }

    private void speak() {
        Run.pause(Math.max(0, silentUntil - run.now()));
    }

    private synchronized int begin(String adapter) {
        finishLoads();
        if (!adapters.contains(adapter)) return 421;
        if (unloading.contains(adapter)) return 503;
        users.merge(adapter, 1, Integer::sum);
        return 200;
    }

    private synchronized void finish(String adapter) {
        users.merge(adapter, -1, Integer::sum);
        if (users.get(adapter) > 0 || !unloading.remove(adapter)) return;
        adapters.remove(adapter);
        sequence++;
        keepReport();
    }

    private void seal(HttpExchange call, String request) {
        call.getResponseHeaders().add("X-Apricotslip-Response-Seal", "seal." + id + "." + request);
    }

    private static void end(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes();
        call.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) call.getResponseBody().write(bytes);
        call.close();
    }
}
