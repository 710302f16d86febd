import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: reads and watches as PROTOCOL.md has them, each answered after 4 ms. */
final class Store {
    private record Item(String key, String value, long revision, long created) {
        String json() {
            if (value == null) return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}";
            String text = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
            return "{\"key\":\"" + key + "\",\"value\":\"" + text + "\",\"revision\":" + revision
                + ",\"createRevision\":" + created + ",\"lease\":0}";
        }
    }

    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE = 500;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> changes = new ArrayList<>();
    private long revision = 1;
    private final java.util.Set<Socket> silent = java.util.concurrent.ConcurrentHashMap.newKeySet();
    final Http.Server server;

    Store(String host) throws IOException {
        server = new Http.Server(host, 0, this::handle);
    }

    String address() {
        return server.host + ":" + server.port;
    }

    synchronized long put(String key, String value) {
        Item before = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, before == null ? revision : before.created);
        if (value == null) items.remove(key);
        else items.put(key, item);
        changes.add(item);
        notifyAll();
        return revision;
    }

    /** Lets all channels that are open go silent for good, without a reset; new ones work. */
    void silenceOpenChannels() {
        silent.addAll(server.openConnections());
    }

    private boolean handle(Http.Message request, Socket connection, OutputStream out) throws IOException {
        Map<String, String> query = new HashMap<>();
        String uri = request.uri();
        if (uri.indexOf('?') >= 0) {
            for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        String body = switch (request.path()) {
            case "/apricotslip/kv-range" -> range(query);
            case "/apricotslip/kv-watch" -> watch(query);
            default -> null;
        };
        Clock.sleep(ANSWER_MILLIS);
        if (silent.contains(connection)) Clock.sleep(200_000);
        if (body == null) Http.write(out, "HTTP/1.1 404 Not Found\r\n", "");
        else Http.write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n", body);
        return true;
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<String> found = new ArrayList<>();
        boolean more = false;
        for (Item item : (after.isEmpty() ? items.tailMap(prefix, true) : items.tailMap(after, false)).values()) {
            if (!item.key.startsWith(prefix)) break;
            if (found.size() == PAGE) {
                more = true;
                break;
            }
            found.add(item.json());
        }
        return "{\"items\":[" + String.join(",", found) + "],\"hasMore\":" + more + ",\"currentRev\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long until = Clock.millis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            List<String> events = new ArrayList<>();
            for (Item item : changes) {
                if (item.revision > after && item.key.startsWith(prefix)) events.add(item.json());
            }
            long left = until - Clock.millis();
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"currentRev\":" + revision + "}";
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
