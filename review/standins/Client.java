import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One client with one channel, which it keeps for its requests. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final BufferedInputStream in;

    Client(String address) throws IOException {
        String[] parts = address.split(":");
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads its answer; an IOException means that the channel ended, or stayed silent for the timeout. */
    Http.Message call(String method, String target, String id, int deadlineMilliseconds, String key, String body, int timeoutMilliseconds)
        throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\n");
        head.append("Request-Id: ").append(id).append("\r\nDeadline-Ms: ").append(deadlineMilliseconds).append("\r\n");
        head.append("Authorization: Token ").append(key).append("\r\n");
        if (!method.equals("GET")) head.append("Content-Length: ").append(body.length()).append("\r\n");
        head.append("\r\n").append(method.equals("GET") ? "" : body);
        socket.setSoTimeout(timeoutMilliseconds);
        socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return Http.readResponse(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
