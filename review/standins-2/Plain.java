import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a replica of a plain service: answers with a body of about 800 bytes in one chunk. */
final class Plain {
    /** Changes an answer; null for none. It is the last on its channel then. */
    interface Spoiler {
        String spoil(String answer);
    }

    final String id;
    private final String zone;
    private final String service;
    private final long workMillis;
    private final Store store;
    private final Record record;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    final Http.Server server;

    /** Times at which requests arrived. */
    final java.util.List<Long> arrivals = new java.util.concurrent.CopyOnWriteArrayList<>();
    volatile Spoiler spoiler;

    /** Every how many answers one is spoiled. */
    volatile int spoilEvery = 20;

    Plain(String id, String host, String zone, String service, long workMillis, Store store, Record record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.workMillis = workMillis;
        this.store = store;
        this.record = record;
        server = new Http.Server(host, 0, this::handle);
        register("ready");
    }

    long register(String state) {
        return store.put("servers/" + id, """
            {"service":"%s","address":"%s:%d","zone":"%s","version":"1.0.0","slots":6,"state":"%s","coldRemainingMs":0,
            "sequence":%d,"born":%d,"models":[]}""".formatted(service, server.host, server.port, zone, state,
            sequence.incrementAndGet(), born));
    }

    static String body(String requestId) {
        return "{\"request\":\"" + requestId + "\",\"text\":\"" + "tandem ".repeat(108) + "\"}";
    }

    private boolean handle(Http.Message request, Socket connection, OutputStream out) throws IOException {
        String requestId = request.field("X-Apricotslip-Request-Id");
        String target = request.field("X-Apricotslip-Target-Instance");
        if (requestId == null) {
            if (request.path().equals("/health")) {
                Http.write(out, "HTTP/1.1 200 OK\r\nX-Apricotslip-Instance-Id: " + id + "\r\n", "");
            } else {
                Http.write(out, "HTTP/1.1 400 Bad Request\r\nX-Apricotslip-Not-Executed: 1\r\n", "");
            }
            return true;
        }
        String head = "X-Apricotslip-Request-Id: " + requestId + "\r\n";
        if (target != null && !target.equals(id)) {
            Http.write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Apricotslip-Not-Executed: 1\r\n" + head, "");
            return true;
        }
        arrivals.add(Clock.millis());
        record.line("replica " + id + " runs " + requestId);
        Clock.sleep(workMillis);
        Spoiler active = spoiler;
        boolean spoils = active != null && answers.incrementAndGet() % spoilEvery == 0;
        String body = body(requestId);
        String answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n" + head
            + "X-Apricotslip-Response-Seal: " + id + "." + requestId + "\r\n" + (spoils ? "Connection: close\r\n" : "") + "\r\n"
            + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
        if (spoils) {
            answer = active.spoil(answer);
            record.line("replica " + id + " spoils its answer to " + requestId);
        }
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return !spoils;
    }
}
