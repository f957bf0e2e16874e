import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Many clients send chunked bodies far over the limit, for each of two machines, less than its link carries. The processes
 * must not end.
 */
public final class EndlessBodies {
    private static final int VMS = 2;
    private static final int ENDS = 3;
    private static final int CLIENTS = 1300;
    private static final long RESTART_MILLISECONDS = 500;
    private static final int ADDRESSES = 200;
    // 960 Mbit/s, of the link's 1,000.
    private static final long BYTES_PER_SECOND = 120_000_000L;
    private static final double PROCESSOR_SHARE = 0.75;
    private static final int CHUNK_BYTES = 256;
    private static final int CHUNKS_PER_WRITE = 64;
    private static final long LIMIT_MILLISECONDS = 90_000;

    private EndlessBodies() {}

    public static void main(String[] arguments) {
        Lab.run(arguments[0], EndlessBodies::trial);
    }

    private static void trial(String folder) throws Exception {
        Lab lab = new Lab(folder, 20_000);
        Worker worker = new Worker("i-1", "orders", "127.0.0.1", "zone-a", request -> Worker.bytes("ok"));
        lab.store.put("op/config", Lab.configuration(1, Lab.BODY_BYTES, List.of("key1"), List.of(Lab.route("r-shop", "/shop/", "unsafe", 3000, 1))));
        lab.store.put("servers/i-1", worker.entry("ready"));
        for (int number = 1; number <= VMS; number++) {
            Vm vm = lab.vm("front-a-" + number, "127.0.0." + (60 + number), "zone-a", lab.store.new Access("127.0.0.1"));
            vm.start();
            vm.awaitReady(30_000);
            vm.limitProcessor(PROCESSOR_SHARE);
        }
        Store.pause(1500);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        Http.daemon(() -> {
            for (int number = 1; ; number++) {
                Vm vm = lab.vms.get(number % VMS);
                Caller.Answer answer = Caller.send(vm.callers, "POST", "/shop/order", "order-" + number, "key1", 2500, Worker.bytes("order"));
                (answer.status == 200 ? answered : failed).incrementAndGet();
                Store.pause(200);
            }
        });
        Store.pause(2000);
        lab.note("before: ordinary orders answered " + answered + ", not " + failed);
        if (lab.trouble) lab.note(CLIENTS + " clients for each VM send chunked bodies without end");
        for (Vm vm : lab.vms) {
            AtomicLong sent = new AtomicLong();
            long start = System.nanoTime();
            for (int client = 0; client < CLIENTS && lab.trouble; client++) {
                int number = client;
                Http.daemon(() -> send(vm, number, sent, start));
            }
        }
        int[] ends = new int[VMS];
        long begin = System.currentTimeMillis();
        long last = begin;
        while (System.currentTimeMillis() < begin + LIMIT_MILLISECONDS && !isBroken(ends)) {
            Store.pause(100);
            for (int number = 0; number < VMS; number++) {
                Vm vm = lab.vms.get(number);
                if (vm.isAlive()) continue;
                ends[number]++;
                lab.note(vm.name + " has ended by itself, status " + vm.exitStatus() + ", for the " + ends[number] + ". time");
                Store.pause(RESTART_MILLISECONDS);
                vm.start();
                vm.limitProcessor(PROCESSOR_SHARE);
            }
            if (System.currentTimeMillis() < last + 5000) continue;
            last = System.currentTimeMillis();
            for (Vm vm : lab.vms) lab.note(vm.name + ": peak " + vm.peakMegabytes() + " MB");
            lab.note("ordinary orders answered " + answered + ", not " + failed);
        }
        for (Vm vm : lab.vms) for (String line : vm.logLines("Terminating")) lab.note(vm.name + " log: " + line);
        lab.note("ordinary orders answered " + answered + ", not " + failed);
        lab.finish(isBroken(ends), "the processes ended by themselves " + java.util.Arrays.toString(ends) + " times");
    }

    /** Whether processes have ended three times on each of two machines, as the rule has it. */
    private static boolean isBroken(int[] ends) {
        for (int count : ends) if (count < ENDS) return false;
        return true;
    }

    private static void send(Vm vm, int client, AtomicLong sent, long start) {
        String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
        byte[] chunks = chunk.repeat(CHUNKS_PER_WRITE).getBytes(StandardCharsets.ISO_8859_1);
        String[] address = vm.callers.split(":");
        for (int turn = 0; ; turn++) {
            try (Socket socket = new Socket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.1." + (1 + client % ADDRESSES)), 0));
                socket.connect(new InetSocketAddress(InetAddress.getByName(address[0]), Integer.parseInt(address[1])), 2000);
                OutputStream out = socket.getOutputStream();
                out.write(("POST /shop/order HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key1\r\nDeadline-Ms: 2500\r\nRequest-Id: crowd-"
                    + client + "-" + turn + "\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                while (true) {
                    while (sent.get() * 1e9 > (double) (System.nanoTime() - start) * BYTES_PER_SECOND) Store.pause(5);
                    sent.addAndGet(chunks.length);
                    out.write(chunks);
                }
            } catch (Exception closed) {
                Store.pause(20);
            }
        }
    }
}
