import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The little of HTTP/1.1 that the stand-ins speak. */
final class Http {
    private Http() {}

    /** A message: its first line, its fields by lower-case name, and its body. */
    static final class Message {
        String first;
        final Map<String, String> fields = new TreeMap<>();
        byte[] body = new byte[0];

        String field(String name) {
            return fields.get(name.toLowerCase());
        }

        String method() {
            return first.split(" ")[0];
        }

        String uri() {
            return first.split(" ")[1];
        }

        String path() {
            int query = uri().indexOf('?');
            return query < 0 ? uri() : uri().substring(0, query);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Answers {@code request}; returns whether the connection is kept. */
        boolean handle(Message request, Socket connection, OutputStream out) throws IOException;
    }

    /** Listens on one address, with a thread for each connection. */
    static final class Server {
        final String host;
        final int port;
        private final Handler handler;
        private volatile ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            this.host = host;
            this.handler = handler;
            this.listener = listen(host, port);
            this.port = listener.getLocalPort();
            accept(listener);
        }

        private static ServerSocket listen(String host, int port) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
            return socket;
        }

        private void accept(ServerSocket on) {
            daemon(() -> {
                while (!on.isClosed()) {
                    try {
                        Socket connection = on.accept();
                        open.add(connection);
                        daemon(() -> serve(connection));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket connection) {
            try {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request == null || !handler.handle(request, connection, out)) break;
                }
            } catch (IOException e) {
                // The peer has left, or this server ends.
            } finally {
                open.remove(connection);
                closeQuietly(connection);
            }
        }

        Set<Socket> openConnections() {
            return Set.copyOf(open);
        }

        /** Ends as a process that is killed: the port refuses, all connections are reset. */
        void crash() {
            try {
                listener.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            for (Socket connection : open) reset(connection);
        }

        void startAgain() throws IOException {
            listener = listen(host, port);
            accept(listener);
        }
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(null, action, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static void reset(Socket connection) {
        try {
            connection.setSoLinger(true, 0);
        } catch (IOException e) {
            // It is closed already.
        }
        closeQuietly(connection);
    }

    static void closeQuietly(Socket connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // Nothing depends on it.
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) return line.size() == 0 ? null : fail();
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static String fail() throws IOException {
        throw new EOFException("end inside a line");
    }

    /** Reads a head; null at the end of the connection. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) return null;
        String line;
        while ((line = line(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            message.fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        if (line == null) throw new EOFException("end inside a head");
        return message;
    }

    /** Reads a message with its body; {@code untilEnd}: a body without a length ends with the connection. */
    static Message read(InputStream in, boolean untilEnd) throws IOException {
        Message message = head(in);
        if (message == null) return null;
        String length = message.field("content-length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) throw new EOFException("end inside a body");
        } else if ("chunked".equalsIgnoreCase(message.field("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk;
            while ((chunk = chunk(in)).length > 0) body.write(chunk);
            message.body = body.toByteArray();
        } else if (untilEnd) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    /** Reads a chunk; an empty one is the last. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("end before a chunk");
        int length = Integer.parseInt(size.trim(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("end inside a chunk");
        line(in);
        return bytes;
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] bytes = (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        out.write(all);
        out.flush();
    }

    static void write(OutputStream out, String head, String body) throws IOException {
        write(out, head, body.getBytes(StandardCharsets.UTF_8));
    }
}
