package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;

/** The platform's store: reads, ranges and watches of one revision counter. */
final class Store {
    private record Item(String key, String value, long revision) {
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 1;
    private int cuts = 0;
    private int waiting = 0;

    /** Serves the store at a new port; [view] changes each value that is read there. Returns its address. */
    String listen(UnaryOperator<String> view) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/apricotslip/kv-range", call -> range(call, view));
        server.createContext("/apricotslip/kv-watch", call -> watch(call, view));
        server.createContext("/apricotslip/kv-key", call -> key(call, view));
        server.start();
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    String listen() throws IOException {
        return listen(value -> value);
    }

    /** Writes [value] under [key], or removes the key if it is null; returns when that is confirmed. */
    synchronized void put(String key, String value) {
        revision++;
        Item item = new Item(key, value, revision);
        if (value == null) items.remove(key); else items.put(key, item);
        history.add(item);
        notifyAll();
    }

    /** Number of watches that wait. */
    synchronized int waitingWatches() {
        return waiting;
    }

    /** Cuts the watches that wait. */
    synchronized void cutWatches() {
        cuts++;
        notifyAll();
    }

    private synchronized void key(HttpExchange call, UnaryOperator<String> view) throws IOException {
        Item item = items.get(query(call).get("key"));
        if (item == null) answer(call, 404, ""); else answer(call, 200, json(item, view));
    }

    private synchronized void range(HttpExchange call, UnaryOperator<String> view) throws IOException {
        Map<String, String> query = query(call);
        String prefix = query.getOrDefault("prefix", "");
        StringBuilder found = new StringBuilder();
        for (Item item : items.tailMap(prefix, true).values()) {
            if (!item.key.startsWith(prefix)) break;
            if (item.key.compareTo(query.getOrDefault("after", "")) <= 0) continue;
            found.append(found.length() == 0 ? "" : ",").append(json(item, view));
        }
        answer(call, 200, "{\"items\":[" + found + "],\"hasMore\":false,\"currentRev\":" + revision + "}");
    }

    private void watch(HttpExchange call, UnaryOperator<String> view) throws IOException {
        Map<String, String> query = query(call);
        long after = Long.parseLong(query.get("after"));
        String prefix = query.getOrDefault("prefix", "");
        long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        String body;
        synchronized (this) {
            int cutsBefore = cuts;
            waiting++;
            try {
                while (events(prefix, after, view).isEmpty() && System.nanoTime() < end && cuts == cutsBefore) wait(5);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            waiting--;
            if (cuts != cutsBefore) {
                call.close();
                return;
            }
            body = "{\"events\":[" + events(prefix, after, view) + "],\"currentRev\":" + revision + "}";
        }
        answer(call, 200, body);
    }

    private String events(String prefix, long after, UnaryOperator<String> view) {
        StringBuilder events = new StringBuilder();
        for (int i = history.size() - 1; i >= 0 && history.get(i).revision > after; i--) {
            Item item = history.get(i);
            if (!item.key.startsWith(prefix)) continue;
            events.insert(0, json(item, view) + (events.length() == 0 ? "" : ","));
        }
        return events.toString();
    }

    private static String json(Item item, UnaryOperator<String> view) {
        if (item.value == null) return "{\"key\":\"" + item.key + "\",\"revision\":" + item.revision + ",\"removed\":true}";
        String value = Base64.getEncoder().encodeToString(view.apply(item.value).getBytes(StandardCharsets.UTF_8));
        return "{\"key\":\"" + item.key + "\",\"value\":\"" + value + "\",\"revision\":" + item.revision
            + ",\"createRevision\":1,\"lease\":0}";
    }

    private static Map<String, String> query(HttpExchange call) {
        Map<String, String> query = new HashMap<>();
        String raw = call.getRequestURI().getRawQuery();
        for (String part : (raw == null ? "" : raw).split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void answer(HttpExchange call, int status, String body) throws IOException {
        call.getResponseHeaders().add("Store-Era", "1");
        call.getResponseHeaders().add("Content-Type", "application/json");
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) call.getResponseBody().write(bytes);
        call.close();
    }
}
