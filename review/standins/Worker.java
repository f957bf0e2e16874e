import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A worker that reports itself to the store and hands each request to its behaviour. */
final class Worker implements AutoCloseable {
    /** One channel of a caller. Fields for what a behaviour remembers of it. */
    static final class Channel {
        final Socket socket;
        final OutputStream out;

        /** Bytes that are to be sent late, where the next answer is expected; null for none. */
        byte[] late;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }
    }

    interface Behaviour {
        void handle(Worker worker, Channel channel, Http.Message request) throws IOException, InterruptedException;
    }

    final String id;
    final String service;
    final String zone;
    private final int slots;
    private final long born = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    private final ServerSocket listener;
    private final Behaviour behaviour;

    Worker(Platform platform, String ip, String id, String service, String zone, int slots, Behaviour behaviour) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.behaviour = behaviour;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
        Threads.start("worker " + id, this::accept);
        Threads.start("report " + id, () -> {
            while (!listener.isClosed()) {
                platform.put("servers/" + id, report());
                Thread.sleep(1200);
            }
        });
    }

    /** An answer with the receipt and a body with a length, as a sound worker gives it. */
    static byte[] answer(Http.Message request, int status, String body, String... furtherHeaders) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + (status == 200 ? " OK" : " Status") + "\r\n");
        head.append("Request-Id: ").append(request.header("Request-Id")).append("\r\n");
        if (status == 200) head.append("Response-Signature: ").append(receipt(request)).append("\r\n");
        for (String header : furtherHeaders) head.append(header).append("\r\n");
        head.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        return head.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static String receipt(Http.Message request) {
        return "sig-" + request.header("Request-Id");
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private String report() {
        return Json.write(Json.object("service", service, "address", listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort(),
            "zone", zone, "version", "v1", "slots", slots, "state", "ready", "coldRemainingMs", 0, "born", born,
            "sequence", sequence.incrementAndGet()));
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start("channel " + id, () -> {
                try (socket) {
                    socket.setTcpNoDelay(true);
                    Channel channel = new Channel(socket);
                    BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                    while (true) {
                        Http.Message request = Http.readRequest(in);
                        if (request == null) return;
                        behaviour.handle(this, channel, request);
                    }
                }
            });
        }
    }
}
