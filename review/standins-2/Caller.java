import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a channel of its own and reads the answer. */
final class Caller {
    /** What became of a request: the status, or -1 if the channel ended without a whole answer. */
    static final class Answer {
        int status = -1;
        String text = "";
        String signature;
        String failure = "";
    }

    private Caller() {}

    static Answer send(String address, String method, String target, String id, String key, int deadline, byte[] body) {
        Answer answer = new Answer();
        try (Socket socket = Vm.connect(address)) {
            socket.setSoTimeout(deadline + 500);
            String head = method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + deadline
                + "\r\nAuthorization: Token " + key + "\r\n" + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) socket.getOutputStream().write(body);
            Http.Message read = Http.readAnswer(socket.getInputStream());
            if (read == null) {
                answer.failure = "the channel was closed without an answer";
            } else {
                answer.status = read.status();
                answer.text = read.text();
                answer.signature = read.header("Response-Signature");
            }
        } catch (Exception failure) {
            answer.failure = failure.toString();
        }
        return answer;
    }
}
