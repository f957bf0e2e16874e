import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a connection. */
final class Http {
    private static final int MAX_LINE = 64 * 1024;

    private Http() {
    }

    /** A request or a response; first is its first line. */
    record Message(String first, List<String[]> headers, byte[] body, boolean isComplete) {
        String header(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        String method() {
            return first.split(" ")[0];
        }

        /** The request target as it came. */
        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a request; null if the connection ended before one began. */
    static Message readRequest(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        List<String[]> headers = readHeaders(in);
        return new Message(first, headers, readBody(in, headers, false), true);
    }

    /** Reads a response. A body that breaks off is returned as not complete; a missing head is an EOFException. */
    static Message readResponse(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) throw new EOFException("the connection ended without a response");
        List<String[]> headers = readHeaders(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isComplete = true;
        try {
            body.write(readBody(in, headers, true));
        } catch (IOException failure) {
            isComplete = false;
        }
        return new Message(first, headers, body.toByteArray(), isComplete);
    }

    private static List<String[]> readHeaders(InputStream in) throws IOException {
        List<String[]> headers = new ArrayList<>();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the connection ended within a head");
            if (line.isEmpty()) return headers;
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("not a header: " + line);
            headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    private static byte[] readBody(InputStream in, List<String[]> headers, boolean isResponse) throws IOException {
        String length = null;
        boolean isChunked = false;
        for (String[] header : headers) {
            if (header[0].equalsIgnoreCase("Content-Length")) length = header[1];
            if (header[0].equalsIgnoreCase("Transfer-Encoding")) isChunked = header[1].equalsIgnoreCase("chunked");
        }
        if (isChunked) return readChunks(in);
        if (length != null) return readExactly(in, Integer.parseInt(length));
        return isResponse ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the connection ended between chunks");
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (size > 0) body.write(readExactly(in, size));
            String end = readLine(in);
            if (end == null || !end.isEmpty()) throw new IOException("a chunk does not end with a line end");
            if (size == 0) return body.toByteArray();
        }
    }

    private static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("the body is shorter than announced");
        return bytes;
    }

    /** Reads a line that ends with LF, as Latin-1; null at the end of the connection. */
    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
            if (line.size() > MAX_LINE) throw new IOException("a line is too long");
        }
    }
}
