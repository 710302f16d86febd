import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time of the steady clock. */
final class Record {
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void line(String text) {
        out.printf("%9.3f  %s%n", Clock.millis() / 1000.0, text);
    }

    synchronized void close() {
        out.flush();
        out.close();
    }

    /** Writes {@code text} to the record and to the standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }
}
