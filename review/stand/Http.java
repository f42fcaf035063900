import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message, read from a stream. */
final class Http {
    String startLine;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    /** Whether the whole body was read. */
    boolean isWhole;

    /** Whether the message has a length or chunks. */
    boolean isFramed;

    String header(String name) {
        for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
        return null;
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Reads the head of a message; returns null if the stream ends before its first byte. */
    static Http readHead(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Http message = new Http();
        message.startLine = line;
        while (true) {
            line = line(in);
            if (line == null) throw new EOFException("the stream ended within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    /** Reads a request with its body. */
    static Http readRequest(InputStream in) throws IOException {
        Http message = readHead(in);
        if (message != null) message.readBody(in, false);
        return message;
    }

    /** Reads the body; one without framing ends with the stream if [endsWithStream]. */
    void readBody(InputStream in, boolean endsWithStream) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String length = header("Content-Length");
        isFramed = true;
        try {
            if ("chunked".equalsIgnoreCase(header("Transfer-Encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) throw new EOFException("the stream ended within a body");
                    int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                    copy(in, out, bytes);
                    line(in);
                    if (bytes == 0) break;
                }
            } else if (length != null) {
                copy(in, out, Integer.parseInt(length));
            } else if (endsWithStream) {
                isFramed = false;
                for (int next = in.read(); next >= 0; next = in.read()) out.write(next);
            }
            isWhole = true;
        } finally {
            body = out.toByteArray();
        }
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int bytes) throws IOException {
        byte[] buffer = new byte[65536];
        for (int left = bytes; left > 0; ) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) throw new EOFException("the stream ended within a body");
            out.write(buffer, 0, read);
            left -= read;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("the stream ended within a line");
            }
            if (next == '\n') break;
            if (next != '\r') out.write(next);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}
