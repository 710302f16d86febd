package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP proxy on the way between two processes. */
final class Proxy {
    private final class Pipe {
        volatile boolean silent;
        final Socket near;
        final Socket far;

        Pipe(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void copy(Socket from, Socket to) {
            try {
                byte[] buffer = new byte[65_536];
                while (true) {
                    int count = from.getInputStream().read(buffer);
                    if (count < 0) break;
                    // Bytes on a silent channel are lost.
                    if (!silent) to.getOutputStream().write(buffer, 0, count);
                }
                if (!silent) to.shutdownOutput();
            } catch (IOException e) {
                if (silent) return;
                reset(near);
                reset(far);
            }
        }
    }

    private final ServerSocket listening;
    private final String targetIp;
    private final int targetPort;
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();
    private volatile boolean cut;

    /** Called when a new channel has been opened through the proxy. */
    volatile Runnable onOpened = () -> { };

    Proxy(String ip, int port, String targetIp, int targetPort) throws IOException {
        listening = new ServerSocket(port, 200, InetAddress.getByName(ip));
        this.targetIp = targetIp;
        this.targetPort = targetPort;
        daemon(this::accept);
    }

    int port() {
        return listening.getLocalPort();
    }

    /** Lets the open channels go silent for good; new ones work. Returns how many there were. */
    int silenceOpenChannels() {
        int count = 0;
        for (Pipe pipe : pipes) {
            if (pipe.silent || pipe.near.isClosed()) continue;
            pipe.silent = true;
            count++;
        }
        return count;
    }

    /** Cuts the link: its channels are reset, and so are new ones, until it is mended. */
    void cut(boolean cut) {
        this.cut = cut;
        if (!cut) return;
        for (Pipe pipe : pipes) {
            reset(pipe.near);
            reset(pipe.far);
        }
        pipes.clear();
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listening.accept();
                if (cut) {
                    reset(near);
                    continue;
                }
                Socket far;
                try {
                    far = new Socket(targetIp, targetPort);
                } catch (IOException e) {
                    reset(near);
                    continue;
                }
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Pipe pipe = new Pipe(near, far);
                pipes.add(pipe);
                onOpened.run();
                daemon(() -> pipe.copy(near, far));
                daemon(() -> pipe.copy(far, near));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
