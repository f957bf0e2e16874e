import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One worker of a model service sends one answer without end: a sound head, one sound chunk, and then bytes that are no
 * chunk, until the caller closes. Clients of another service, all of whose workers are sound, send orders meanwhile.
 */
final class EndlessAnswer {
    private static final int CLIENTS = 60;
    private static final int ORDER_MILLISECONDS = 200;

    /** Half of the rate of a machine's link, which has 1,000 Mbit/s. */
    private static final long ENDLESS_BYTES_PER_MILLISECOND = 60_000;

    private static final Set<String> begun = ConcurrentHashMap.newKeySet();
    private static final AtomicBoolean isTroubleDue = new AtomicBoolean();

    public static void main(String[] arguments) {
        Trial.main(arguments, EndlessAnswer::run);
    }

    private static int run(Trial trial) throws Exception {
        for (int i = 0; i < 3; i++) {
            String zone = "ne-north-" + "abc".charAt(i);
            Semaphore slots = new Semaphore(6, true);
            new Worker(trial.platform, trial.network + (100 + i), "i-order-" + i, "order-desk", zone, 6, (worker, channel, request) -> {
                begun.add(request.header("Request-Id"));
                slots.acquire();
                Thread.sleep(ORDER_MILLISECONDS);
                slots.release();
                channel.send(Worker.answer(request, 200, "booked"));
            });
            new Worker(trial.platform, trial.network + (110 + i), "i-draft-" + i, "drafting-pool", zone, 64, (worker, channel, request) -> {
                if (isTroubleDue.compareAndSet(true, false)) sendWithoutEnd(trial, worker, channel, request);
                else sendStream(channel, request);
            });
        }
        trial.configure(
            Trial.route("orders", "unsafe", 1200, 150, 1, "order-desk") + "," + Trial.route("drafts", "streaming", 12000, 600, 1, "drafting-pool"),
            Trial.service("order-desk") + "," + Trial.service("drafting-pool"));
        List<EntryVm> vms = trial.startEntryVms("ne-north-a", "ne-north-b");

        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Map<EntryVm, Set<String>> lostByVm = new ConcurrentHashMap<>();
        AtomicBoolean isOver = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            EntryVm vm = vms.get(i % vms.size());
            int number = i;
            clients.add(Threads.start("client " + i, () -> sendOrders(trial, vm, number, isOver, answered, lost, lostByVm)));
        }
        Thread.sleep(6000);
        trial.record("%d orders answered; now one draft is asked for", answered.get());

        if (trial.hasTrouble) isTroubleDue.set(true);
        try (Client client = new Client(vms.get(0).callers)) {
            Http.Message answer = client.call("POST", "/drafts/chat", "draft", 12000, Trial.KEY, "draft", 13000);
            trial.record("draft: %s, %s, %d bytes", answer.first(), answer.isComplete() ? "complete" : "broken off", answer.body().length);
        } catch (IOException failure) {
            trial.record("draft: %s", failure);
        }
        Thread.sleep(3000);
        isOver.set(true);
        for (Thread client : clients) client.join();

        for (int i = 0; i < vms.size(); i++) {
            EntryVm vm = vms.get(i);
            trial.record("entry VM %d: %s", i, vm.isRunning() ? "running" : "ended by itself with status " + vm.exitStatus());
            for (String line : vm.lastLines(vm.isRunning() ? 0 : 2)) trial.record("    its log: %s", line);
            trial.record("    orders at sound workers whose kept channel it closed without an answer: %d", lostByVm.getOrDefault(vm, Set.of()).size());
        }
        trial.record("%d orders answered, %d lost (the rule bears three)", answered.get(), lost.get());
        return lost.get() > 3 ? Trial.BROKEN : Trial.HELD;
    }

    /** Sends orders one after another on one channel until it ends. */
    private static void sendOrders(Trial trial, EntryVm vm, int number, AtomicBoolean isOver, AtomicInteger answered, AtomicInteger lost,
        Map<EntryVm, Set<String>> lostByVm) throws IOException {
        try (Client client = new Client(vm.callers)) {
            for (int i = 0; !isOver.get(); i++) {
                String id = "order-" + number + "-" + i;
                try {
                    Http.Message answer = client.call("POST", "/orders/place", id, 2500, Trial.KEY, "one load of dowels", 4000);
                    if (answer.isComplete()) answered.incrementAndGet();
                } catch (SocketTimeoutException silent) {
                    trial.record("%s: no answer within 4 s, and the channel is open; not counted", id);
                    return;
                } catch (IOException failure) {
                    boolean isAtWorker = begun.contains(id);
                    trial.record("%s: its channel, on which %d orders had been answered, ended without an answer (%s); %s", id, i, failure,
                        isAtWorker ? "a sound worker had it" : "no worker had it");
                    if (isAtWorker && i > 0) {
                        lost.incrementAndGet();
                        lostByVm.computeIfAbsent(vm, key -> ConcurrentHashMap.newKeySet()).add(id);
                    }
                    return;
                }
            }
        }
    }

    private static void sendStream(Worker.Channel channel, Http.Message request) throws IOException, InterruptedException {
        channel.send(head(request).getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 1; i <= 20; i++) {
            String event = "id: " + i + "\ndata: piece " + i + "\n\n";
            channel.send((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(100);
        }
        channel.send("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void sendWithoutEnd(Trial trial, Worker worker, Worker.Channel channel, Http.Message request)
        throws IOException, InterruptedException {
        String event = "id: 1\ndata: piece 1\n\n";
        channel.send((head(request) + Integer.toHexString(event.length()) + "\r\n" + event).getBytes(StandardCharsets.ISO_8859_1));
        byte[] bytes = "x".repeat(64 * 1024).getBytes(StandardCharsets.ISO_8859_1);
        long sent = 0;
        long start = System.nanoTime();
        trial.record("%s begins to send bytes without end", worker.id);
        try {
            while (true) {
                channel.send(bytes);
                sent += bytes.length;
                long ahead = sent / ENDLESS_BYTES_PER_MILLISECOND - (System.nanoTime() - start) / 1_000_000;
                if (ahead > 0) Thread.sleep(ahead);
            }
        } finally {
            trial.record("the caller has closed after %d bytes and %d ms", sent, (System.nanoTime() - start) / 1_000_000);
        }
    }

    private static String head(Http.Message request) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id") + "\r\nResponse-Signature: " + Worker.receipt(request)
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }
}
