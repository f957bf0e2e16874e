import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback addresses, and the record of what was sent, answered and run. */
final class Lab implements AutoCloseable {
    final Path repository = Path.of("").toAbsolutePath();
    final Path folder;
    static final int BODY_BYTES = 4194304;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final Http.Server duties;
    final List<Vm> vms = new ArrayList<>();
    final List<Http.Message> dutyCalls = java.util.Collections.synchronizedList(new ArrayList<>());
    private final PrintWriter record;
    private final long start = System.currentTimeMillis();

    /** @param caseFolder the folder of the case, for record.txt. */
    Lab(String caseFolder, long historyMilliseconds) throws Exception {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder).resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        store = new Store(historyMilliseconds);
        duties = new Http.Server("127.0.0.1", 0, (request, out, socket) -> {
            dutyCalls.add(request);
            Http.json(out, 200, Json.of());
            return true;
        });
    }

    /** Writes a line of the record, with the time since the start in seconds. */
    synchronized void note(String text) {
        String line = String.format("%7.3f %s", (System.currentTimeMillis() - start) / 1000.0, text);
        record.println(line);
        System.out.println(line);
    }

    Vm vm(String name, String host, String zone, Store.Access access) throws Exception {
        Vm vm = new Vm(repository, folder, name, host, zone, access.address(), duties.address());
        vms.add(vm);
        return vm;
    }

    private void end() {
        vms.forEach(Vm::kill);
        try (Stream<Path> files = Files.walk(folder)) {
            if (System.getenv("KEEP") == null) files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (Exception ignored) {
            // A temporary folder that stays does no harm.
        }
    }

    @Override
    public void close() {
        end();
    }

    interface Trial {
        void run(String caseFolder) throws Exception;
    }

    /** Runs a trial; one that fails by itself ends with status 2. */
    static void run(String caseFolder, Trial trial) {
        try {
            trial.run(caseFolder);
        } catch (Throwable failure) {
            failure.printStackTrace();
            System.exit(2);
        }
    }

    /** Ends the trial: status 1 if the rule was broken, else 0. */
    void finish(boolean broken, String result) {
        note((broken ? "BROKEN: " : "HELD: ") + result);
        end();
        System.exit(broken ? 1 : 0);
    }

    /** A configuration with the given limit of a body, keys of its tenant, and routes, each as a map. */
    static String configuration(long version, int bodyBytes, List<String> keys, List<Object> routes) {
        List<Object> services = List.of(Json.of("name", "orders", "healthPath", "/health", "connectionLimit", 100, "protocol", "h1",
            "tls", false, "coldStartS", 0.0, "coldPerS", 0.0));
        return Json.write(Json.of("version", version, "routes", routes, "services", services,
            "limits", Json.of("maxHeaderBytes", 16384, "maxBodyBytes", bodyBytes, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000),
            "tenants", List.of(Json.of("name", "tenant1", "apiKeys", keys, "priority", 1))));
    }

    static Object route(String name, String prefix, String kind, int timeout, int attempts) {
        return Json.of("name", name, "host", "shop.example", "prefix", prefix, "kind", kind, "timeoutMs", timeout, "targetLatencyMs", 150,
            "priority", 1, "service", "orders", "maxAttempts", attempts, "public", false, "stickySessions", false, "resumable", false);
    }
}
