package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A consumer that opens a channel for each request. */
final class Client {
    /** What a consumer got: [status] is 0 when no head arrived; [complete] tells whether the whole body did. */
    record Answer(int status, Map<String, String> headers, String body, boolean complete) {
        @Override
        public String toString() {
            return "status=" + status + " complete=" + complete + " bytes=" + body.length();
        }
    }

    private Client() {
    }

    static int get(String ip, int port, String path) throws IOException {
        return send(ip, port, "GET", path, Map.of("Host", ip), "", 1_000).status();
    }

    static Answer send(
        String ip, int port, String method, String path, Map<String, String> headers, String body, int timeoutMillis
    ) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (!body.isEmpty() || method.equals("POST")) head.append("Content-Length: ").append(body.length()).append("\r\n");
            head.append("\r\n").append(body);
            socket.getOutputStream().write(head.toString().getBytes());
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static Answer read(InputStream in) {
        int status = 0;
        Map<String, String> headers = new HashMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            String line = line(in);
            if (line != null && line.startsWith("HTTP/1.1 ")) {
                status = Integer.parseInt(line.substring(9, 12));
                for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                    int colon = line.indexOf(':');
                    headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
                }
                complete = line != null && body(in, headers, body);
            }
        } catch (IOException e) {
            complete = false;
        }
        return new Answer(status, headers, body.toString(), complete);
    }

    private static boolean body(InputStream in, Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
        if (headers.containsKey("content-length")) {
            return copy(in, Integer.parseInt(headers.get("content-length")), body);
        }
        if (!"chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) return true;
        while (true) {
            String size = line(in);
            if (size == null) return false;
            int length = Integer.parseInt(size.trim(), 16);
            if (!copy(in, length, body)) return false;
            if (line(in) == null) return false;
            if (length == 0) return true;
        }
    }

    private static boolean copy(InputStream in, int length, ByteArrayOutputStream to) throws IOException {
        for (int i = 0; i < length; i++) {
            int b = in.read();
            if (b < 0) return false;
            to.write(b);
        }
        return true;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int b = in.read();
            if (b < 0) return null;
            if (b == '\n') return line.toString();
            if (b != '\r') line.append((char) b);
        }
    }
}
