import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.UUID;

/** Waits for the three nodes of the demonstration, sends requests through them and prints the answers. */
class Demo {
    private static final Duration PATIENCE = Duration.ofSeconds(60);
    /** Longer than reservations.clockSkewMillis: younger homes refuse keys minted that soon after their start. */
    private static final Duration KEY_PAUSE = Duration.ofSeconds(4);
    private static final long VERSION_7 = 0x7000L;
    private static final long VARIANT = 0x8000000000000000L;
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    public static void main(String[] args) throws Exception {
        for (int node = 1; node <= 3; node++) {
            awaitReady(node);
        }
        System.out.println("== a streamed request through node 1, adapter and version named");
        post(1, "/v1/chat/completions", "{\"model\":\"ride-plans@v1\",\"stream\":true,\"max_tokens\":5,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"a plan for Sunday\"}]}", null);
        System.out.println("== the default version through node 2, in one body");
        post(2, "/v1/completions", "{\"model\":\"ride-plans\",\"max_tokens\":5,\"prompt\":\"a plan for Sunday\"}", null);
        Thread.sleep(KEY_PAUSE.toMillis());
        String key = uuidVersion7().toString();
        System.out.println("== a reservation through node 2, repeated through node 3: it runs once");
        post(2, "/services/booking/v1/reservations", "{\"tandem\":7}", key);
        post(3, "/services/booking/v1/reservations", "{\"tandem\":7}", key);
    }

    private static void awaitReady(int node) throws Exception {
        long until = System.nanoTime() + PATIENCE.toNanos();
        var request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:1809" + node + "/readyz")).build();
        while (!isReady(request)) {
            if (System.nanoTime() > until) {
                System.err.println("node " + node + " is not ready after " + PATIENCE);
                System.exit(1);
            }
            Thread.sleep(200);
        }
    }

    private static boolean isReady(HttpRequest request) throws InterruptedException {
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    private static void post(int node, String path, String body, String key) throws Exception {
        var builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:1808" + node + path))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body));
        if (key != null) {
            builder.header("Idempotency-Key", key);
        }
        var response = CLIENT.send(builder.build(), HttpResponse.BodyHandlers.ofLines());
        System.out.println("HTTP " + response.statusCode());
        response.headers().map().forEach((name, values) -> {
            if (name.startsWith("x-")) {
                System.out.println(name + ": " + values.get(0));
            }
        });
        response.body().forEach(System.out::println);
        System.out.println();
    }

    private static UUID uuidVersion7() {
        var random = new SecureRandom();
        long high = (System.currentTimeMillis() << 16) | VERSION_7 | random.nextInt(1 << 12);
        return new UUID(high, VARIANT | (random.nextLong() >>> 2));
    }
}
