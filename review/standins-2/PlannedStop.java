import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Entry VMs are stopped by SIGTERM and started again in turn, while clients that follow the directory send orders. A request
 * that a VM has read must be answered.
 */
public final class PlannedStop {
    private static final int VMS = 6;
    private static final int CLIENTS = 300;
    private static final int PAUSE_MILLISECONDS = 100;
    private static final int WORK_MILLISECONDS = 4;
    private static final long RUN_MILLISECONDS = 60_000;
    private static final long UP_MILLISECONDS = 3000;
    // `roll_term`, x = 1.0, gap_s = 1.3.
    private static final long GAP_MILLISECONDS = 1300;
    private static final long LOSS_SLACK_MILLISECONDS = 200;
    private static final long GRACE_MILLISECONDS = 8000;
    private static final int DEADLINE_MILLISECONDS = 1500;

    private static long nextStop;
    private static final Map<String, Long> STOPPED_AT = new ConcurrentHashMap<>();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger UNREAD = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();

    private PlannedStop() {}

    public static void main(String[] arguments) {
        Lab.run(arguments[0], PlannedStop::trial);
    }

    private static void trial(String folder) throws Exception {
        Lab lab = new Lab(folder, 20_000);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        for (int number = 1; number <= 3; number++) {
            Worker worker = new Worker("i-" + number, "orders", "127.0.0.1", "zone-a", request -> {
                ran.add(request.header("Request-Id"));
                Thread.sleep(ThreadLocalRandom.current().nextInt(2, 2 * WORK_MILLISECONDS));
                return Worker.bytes("ok");
            });
            lab.store.put("servers/" + worker.id, worker.entry("ready"));
        }
        lab.store.put("op/config", Lab.configuration(1, Lab.BODY_BYTES, List.of("key1"), List.of(
            Lab.route("r-shop", "/shop/", "unsafe", DEADLINE_MILLISECONDS, 1))));
        for (int number = 1; number <= VMS; number++) {
            lab.vm("front-a-" + number, "127.0.0." + (100 + number), "zone-a", lab.store.new Access("127.0.0.1")).start();
        }
        for (Vm vm : lab.vms) vm.awaitReady(30_000);
        Store.pause(2500);
        lab.note(VMS + " VMs are ready; " + CLIENTS + " clients begin");
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            Http.daemon(() -> new Client(lab, ran, number).run());
        }
        long end = System.currentTimeMillis() + RUN_MILLISECONDS;
        List<Thread> stops = new ArrayList<>();
        AtomicInteger count = new AtomicInteger();
        for (int number = 0; number < VMS && lab.trouble; number++) {
            Vm vm = lab.vms.get(number);
            long first = 1000 + 2000L * number;
            stops.add(Http.daemon(() -> {
                try {
                    Store.pause(first);
                    while (System.currentTimeMillis() < end - 9000) {
                        count.incrementAndGet();
                        stop(lab, vm);
                    }
                } catch (Exception failure) {
                    lab.note("stopping failed: " + failure);
                    System.exit(2);
                }
            }));
        }
        if (!lab.trouble) Store.pause(RUN_MILLISECONDS);
        for (Thread stop : stops) stop.join();
        Store.pause(1000);
        lab.note("answered " + ANSWERED + ", refused " + REFUSED + ", channel ended with the request unread or within 200 ms " + UNREAD);
        lab.finish(LOST.get() > 0, LOST + " requests that a VM had read during one of " + count + " planned stops got no answer");
    }

    /** Waits until the next VM may be stopped, a gap after the one before. */
    private static void awaitTurn() {
        long wait;
        synchronized (PlannedStop.class) {
            long now = System.currentTimeMillis();
            long turn = Math.max(now, nextStop);
            nextStop = turn + GAP_MILLISECONDS;
            wait = turn - now;
        }
        Store.pause(wait);
    }

    private static void stop(Lab lab, Vm vm) throws Exception {
        awaitTurn();
        STOPPED_AT.put(vm.callers, System.currentTimeMillis());
        vm.signal("TERM");
        long begin = System.currentTimeMillis();
        while (vm.isAlive()) {
            if (System.currentTimeMillis() > begin + GRACE_MILLISECONDS) vm.signal("KILL");
            Store.pause(5);
        }
        lab.note(vm.name + " ended " + (System.currentTimeMillis() - begin) + " ms after SIGTERM, status " + vm.exitStatus());
        Store.pause(200);
        vm.start();
        vm.awaitReady(20_000);
        Store.pause(UP_MILLISECONDS);
    }

    /** A client as the pages have it: it asks the directory, keeps the answer for its time, and keeps its channel. */
    private static final class Client {
        private final Lab lab;
        private final Set<String> ran;
        private final int number;
        // Some clients keep an answer of the directory three times as long as it says.
        private final int patience;
        private List<String> addresses = List.of();
        private long addressesUntil;
        private final Set<String> failed = new HashSet<>();
        private String address;
        private Socket socket;
        private InputStream in;

        Client(Lab lab, Set<String> ran, int number) {
            this.lab = lab;
            this.ran = ran;
            this.number = number;
            patience = number % 3 == 0 ? 3 : 1;
        }

        void run() {
            for (int turn = 0; ; turn++) {
                try {
                    refresh();
                    if (addresses.isEmpty() || !connect()) {
                        Store.pause(100);
                        continue;
                    }
                    send("c" + number + "-" + turn);
                } catch (Exception failure) {
                    close();
                }
                Store.pause(ThreadLocalRandom.current().nextInt(PAUSE_MILLISECONDS));
            }
        }

        @SuppressWarnings("unchecked")
        private void refresh() {
            if (System.currentTimeMillis() < addressesUntil) return;
            int first = ThreadLocalRandom.current().nextInt(VMS);
            for (int attempt = 0; attempt < 3; attempt++) {
                try (Socket asked = Vm.connect(lab.vms.get((first + attempt) % VMS).directory)) {
                    asked.setSoTimeout(1000);
                    asked.getOutputStream().write("GET /api/resolve?name=shop.example&region=region&zone=zone-a HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                    Http.Message answer = Http.readAnswer(asked.getInputStream());
                    if (answer == null || answer.status() != 200) continue;
                    Map<String, Object> body = Json.object(answer.text());
                    addresses = (List<String>) (List<?>) body.get("addresses");
                    addressesUntil = System.currentTimeMillis() + (long) (1000 * patience * ((Number) body.get("ttlS")).doubleValue());
                    failed.clear();
                    if (address != null && !addresses.contains(address)) close();
                    return;
                } catch (Exception next) {
                    // The next VM is asked.
                }
            }
        }

        private boolean connect() {
            if (socket != null) return true;
            List<String> left = new ArrayList<>(addresses);
            left.removeAll(failed);
            if (left.isEmpty()) {
                failed.clear();
                return false;
            }
            address = left.get(ThreadLocalRandom.current().nextInt(left.size()));
            try {
                socket = Vm.connect(address);
                socket.setSoTimeout(DEADLINE_MILLISECONDS + 1000);
                in = new BufferedInputStream(socket.getInputStream());
                return true;
            } catch (Exception refused) {
                failed.add(address);
                close();
                return false;
            }
        }

        private void send(String id) throws Exception {
            String used = address;
            socket.getOutputStream().write(("POST /shop/order HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + DEADLINE_MILLISECONDS + "\r\nAuthorization: Token key1\r\nContent-Length: 5\r\n\r\norder").getBytes(StandardCharsets.ISO_8859_1));
            long sent = System.nanoTime();
            boolean read = false;
            Http.Message answer = null;
            try {
                answer = Http.readAnswer(in);
                // A process that ends resets a channel with unread bytes, so an end without a reset shows that all was read.
                read = answer == null;
            } catch (SocketTimeoutException late) {
                close();
                return;
            } catch (Exception reset) {
                failed.add(used);
            }
            if (answer != null) {
                (answer.status() == 200 ? ANSWERED : REFUSED).incrementAndGet();
                if ("close".equalsIgnoreCase(answer.header("Connection"))) close();
                return;
            }
            long took = (System.nanoTime() - sent) / 1_000_000;
            failed.add(used);
            close();
            Store.pause(50);
            Long stopped = STOPPED_AT.get(used);
            long after = stopped == null ? -1 : System.currentTimeMillis() - stopped;
            boolean planned = after >= 0 && after <= GRACE_MILLISECONDS + 1000;
            boolean lost = planned && (ran.contains(id) || (read && took > LOSS_SLACK_MILLISECONDS));
            (lost ? LOST : UNREAD).incrementAndGet();
            if (lost) {
                lab.note(id + " to " + used + ": the channel ended " + took + " ms after the last byte without an answer, " + after
                    + " ms after SIGTERM; " + (read ? "all bytes had been read" : "reset") + (ran.contains(id) ? "; it ran" : "; it did not run"));
            }
        }

        private void close() {
            try {
                if (socket != null) socket.close();
            } catch (Exception ignored) {
                // It is closed already.
            }
            socket = null;
            address = null;
        }
    }
}
