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
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 on plain sockets: messages, a server with one thread a connection, and reading of answers. */
final class Http {
    private Http() {}

    /** A request or an answer; {@code first} is its first line. */
    static final class Message {
        String first = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            return target().split("\\?", 2)[0];
        }

        /** The value of a query parameter, decoded; null if there is none. */
        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length < 2) return null;
            for (String pair : parts[1].split("&")) {
                String[] both = pair.split("=", 2);
                if (both[0].equals(name)) return java.net.URLDecoder.decode(both.length > 1 ? both[1] : "", StandardCharsets.UTF_8);
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Answers a request on {@code out}; returns whether the connection stays open. */
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final List<Socket> open = new ArrayList<>();

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 500);
            daemon(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + port();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    synchronized (open) {
                        open.removeIf(Socket::isClosed);
                        open.add(socket);
                    }
                    daemon(() -> serve(socket));
                }
            } catch (IOException closed) {
                // The server was closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = readRequest(in);
                    if (request == null || !handler.handle(request, out, socket)) return;
                }
            } catch (Exception ended) {
                // The peer has closed the connection, or the handler has broken it off.
            }
        }

        /** Closes all open connections with a reset. */
        void resetConnections() {
            synchronized (open) {
                for (Socket socket : open) {
                    try {
                        socket.setSoLinger(true, 0);
                        socket.close();
                    } catch (IOException ignored) {
                        // It is closed already.
                    }
                }
                open.clear();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            resetConnections();
        }
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", 512 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the message ends within a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) return null;
        while (true) {
            String header = line(in);
            if (header == null) throw new EOFException("the message ends within its head");
            if (header.isEmpty()) return message;
            int colon = header.indexOf(':');
            message.headers.add(new String[] {header.substring(0, colon).trim(), header.substring(colon + 1).trim()});
        }
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("the body ends early");
        return bytes;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) throw new EOFException("the chunks end early");
            int count = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (count == 0) break;
            body.write(exactly(in, count));
            line(in);
        }
        while (true) {
            String trailer = line(in);
            if (trailer == null || trailer.isEmpty()) return body.toByteArray();
        }
    }

    static Message readRequest(InputStream in) throws IOException {
        Message request = head(in);
        if (request == null) return null;
        if (request.header("Transfer-Encoding") != null) request.body = chunks(in);
        else if (request.header("Content-Length") != null) request.body = exactly(in, Integer.parseInt(request.header("Content-Length")));
        return request;
    }

    /** Reads a whole answer; null if the connection was closed before its first byte. */
    static Message readAnswer(InputStream in) throws IOException {
        Message answer = head(in);
        if (answer == null) return null;
        if (answer.header("Transfer-Encoding") != null) answer.body = chunks(in);
        else if (answer.header("Content-Length") != null) answer.body = exactly(in, Integer.parseInt(answer.header("Content-Length")));
        else if (answer.status() != 204 && answer.status() != 304) answer.body = in.readAllBytes();
        return answer;
    }

    static void answer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    static void json(OutputStream out, int status, Object body) throws IOException {
        answer(out, status, "Content-Type: application/json\r\n", Json.write(body).getBytes(StandardCharsets.UTF_8));
    }
}
