import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** What all cases share: the folders, the record, the platform and the entry VMs, and their end. */
final class Trial implements AutoCloseable {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    interface Case {
        /** Returns the exit status. */
        int run(Trial trial) throws Exception;
    }

    /** Whether the disruption is on. */
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Platform platform;
    final String network = "127." + random() + "." + random() + ".";
    private final Path repository;
    private final Path folder = Files.createTempDirectory("review");
    private final PrintWriter record;
    private final long start = System.nanoTime();
    private final List<EntryVm> entryVms = new ArrayList<>();

    private Trial(Path caseFolder) throws IOException {
        repository = caseFolder.getParent().getParent();
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        platform = new Platform(network + "1");
    }

    /** Runs a case whose folder is the first argument, and exits with its status. */
    static void main(String[] arguments, Case one) {
        int status = NOT_RUN;
        try (Trial trial = new Trial(Path.of(arguments[0]).toAbsolutePath())) {
            trial.record("trouble %s", trial.hasTrouble ? "on" : "off");
            // The limit of a script is 120 s.
            Thread guard = Threads.start("limit", () -> {
                Thread.sleep(110_000);
                trial.record("the case did not end within 110 s");
                trial.close();
                Runtime.getRuntime().halt(NOT_RUN);
            });
            Runtime.getRuntime().addShutdownHook(new Thread(trial::endEntryVms));
            try {
                status = one.run(trial);
            } catch (Exception failure) {
                trial.record("the case could not run: %s", failure);
                failure.printStackTrace();
            }
            guard.interrupt();
            trial.record("exit %d (%s)", status, status == HELD ? "the rule held" : status == BROKEN ? "the rule was broken" : "not run");
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    synchronized void record(String format, Object... values) {
        record.printf("%9.3f ", (System.nanoTime() - start) / 1e9);
        record.printf(format + "%n", values);
    }

    /** Writes the operator's configuration, whose routes and services are given as JSON. */
    void configure(String routes, String services) {
        configure(routes, services, "{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}");
    }

    void configure(String routes, String services, String tenants) {
        platform.put("op/config", "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + services + "],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[" + tenants + "]}");
    }

    static String route(String name, String kind, int timeout, int target, int attempts, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeout
            + ",\"targetLatencyMs\":" + target + ",\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
            + ",\"public\":false,\"stickySessions\":false,\"resumable\":false}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"connectionLimit\":110,\"protocol\":\"h1\",\"tls\":false,"
            + "\"coldStartS\":0.0,\"coldPerS\":0.0}";
    }

    /** Starts entry VMs, one in each of the zones, and waits until all are ready. */
    List<EntryVm> startEntryVms(String... zones) throws IOException, InterruptedException {
        for (int i = 0; i < zones.length; i++) {
            EntryVm vm = new EntryVm(repository, folder, "front-" + zones[i] + "-" + (i + 1), network + (10 + i), zones[i], platform.address());
            entryVms.add(vm);
        }
        for (EntryVm vm : entryVms) vm.awaitReady();
        // The VMs learn of each other from the store within a second.
        Thread.sleep(2500);
        record("%d entry VMs are ready", entryVms.size());
        return entryVms;
    }

    @Override
    public void close() throws IOException {
        endEntryVms();
        platform.close();
        record.flush();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    private void endEntryVms() {
        entryVms.forEach(EntryVm::close);
    }

    private static int random() {
        return ThreadLocalRandom.current().nextInt(1, 255);
    }
}
