import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the lines of record.txt, with the time since the start in milliseconds. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path path) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.println(String.format("%7d ", millis()) + String.format(format, values));
    }

    @Override
    public void close() {
        out.close();
    }
}
