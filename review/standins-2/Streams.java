import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;

/** A consumer of one stream, with two retries, which takes the stream up where it broke off. */
final class Streams {
    /** What a consumer saw over its tries: the software versions that wrote its events. */
    static final class Stream {
        final Set<String> versions = new LinkedHashSet<>();
        final Map<String, Integer> firstEvents = new LinkedHashMap<>();
        int lastEvent;
        String begunBy;
        boolean complete;

        /** When the first attempt was sent, when the stream was first taken up again (0: never), and whether it went on. */
        long sentAt;
        long takenUpAt;
        boolean wentOn;
    }

    private static final long DEADLINE_MILLIS = 15_000;
    private static final int TRIES = 3;
    private final Nodes nodes;
    private final java.util.List<Nodes.Node> live;
    private final Record record;
    private final String host;
    private final String path;

    /** @param live the nodes to which the platform forwards new channels. */
    Streams(Nodes nodes, java.util.List<Nodes.Node> live, Record record, String host, String path) {
        this.nodes = nodes;
        this.live = live;
        this.record = record;
        this.host = host;
        this.path = path;
    }

    /** Plays one consumer to its end. */
    Stream play(String name, String model, Random random) {
        Stream stream = new Stream();
        stream.sentAt = Clock.millis();
        long until = Clock.millis() + DEADLINE_MILLIS;
        String body = "{\"prompt\":\"" + name + "\"}";
        for (int attempt = 1; attempt <= TRIES && !stream.complete && Clock.millis() < until; attempt++) {
            String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
            long retryAfter = attempt(stream, name, id, live.get(random.nextInt(live.size())), model, body, until);
            if (stream.complete) break;
            Clock.sleep(Math.min(retryAfter, (until - Clock.millis()) / 3));
        }
        record.line("consumer " + name + " ends: " + (stream.complete ? "complete" : "not complete") + ", events to "
            + stream.lastEvent + " of versions " + stream.versions);
        return stream;
    }

    /** One attempt; returns how long the answer tells to wait, in milliseconds. */
    private long attempt(Stream stream, String name, String id, Nodes.Node node, String model, String body, long until) {
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        head.append("X-Apricotslip-Request-Id: ").append(id).append("\r\n");
        head.append("X-Apricotslip-Deadline-Ms: ").append(until - Clock.millis()).append("\r\n");
        head.append("X-Apricotslip-Model: ").append(model).append("\r\n");
        head.append("X-Apricotslip-Token-Usage: 1460,171\r\nContent-Type: application/json\r\n");
        if (stream.lastEvent > 0) {
            head.append("Last-Event-Id: ").append(stream.lastEvent).append("\r\nResumes: ").append(stream.begunBy).append("\r\n");
        }
        if (stream.lastEvent > 0 && stream.takenUpAt == 0) stream.takenUpAt = Clock.millis();
        record.line("consumer " + name + " sends " + id + " to " + node.ip + " after event " + stream.lastEvent);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(node.ip, nodes.frontPort), 1_000);
            socket.setSoTimeout((int) Math.max(1, until - Clock.millis() + 1_000));
            Http.write(socket.getOutputStream(), head.toString(), body);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.head(in);
            if (answer == null) throw new IOException("closed without an answer");
            if (answer.status() != 200) {
                String after = answer.field("Retry-After");
                record.line("consumer " + name + " gets " + answer.status() + " for " + id + ", Retry-After " + after);
                return after == null ? 0 : (long) (Double.parseDouble(after) * 1_000);
            }
            StringBuilder text = new StringBuilder();
            byte[] chunk;
            while ((chunk = Http.chunk(in)).length > 0) {
                text.append(new String(chunk, StandardCharsets.UTF_8));
                int end;
                while ((end = text.indexOf("\n\n")) >= 0) {
                    event(stream, name, id, text.substring(0, end));
                    text.delete(0, end + 2);
                }
            }
            stream.complete = true;
        } catch (IOException e) {
            record.line("consumer " + name + " loses " + id + " after event " + stream.lastEvent + ": " + e.getMessage());
        }
        return 0;
    }

    private void event(Stream stream, String name, String id, String text) {
        String[] lines = text.split("\n");
        int number = Integer.parseInt(lines[0].substring("id: ".length()));
        String[] words = lines[1].split(" ");
        if (stream.begunBy == null) stream.begunBy = id;
        if (!stream.begunBy.equals(id)) stream.wentOn = true;
        if (stream.versions.add(words[1])) {
            record.line("consumer " + name + " gets event " + number + " of version " + words[1] + " by " + words[2] + " in " + id);
        }
        stream.lastEvent = number;
    }
}
