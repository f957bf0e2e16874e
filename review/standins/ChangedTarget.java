import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients send paths and queries with characters that RFC 3986 allows there; a sound worker notes what it gets. */
final class ChangedTarget {
    private static final List<String> PLAIN = List.of("/orders/place", "/orders/a/b", "/orders/find?name=oak&size=6", "/orders/a%2Fb", "/orders/a//b");

    /** An apostrophe in a query, dot segments, and an empty query; each is a URI as it stands. */
    private static final List<String> ALLOWED = List.of("/orders/find?name='oak'", "/orders/find?maker=O'Brien&size=6", "/orders/a/./b",
        "/orders/../stock/7", "/orders/%2e%2e/stock/7", "/orders/find?");

    public static void main(String[] arguments) {
        Trial.main(arguments, ChangedTarget::run);
    }

    private static int run(Trial trial) throws Exception {
        Map<String, Http.Message> begun = new ConcurrentHashMap<>();
        for (int i = 0; i < 3; i++) {
            new Worker(trial.platform, trial.network + (100 + i), "i-order-" + i, "order-desk", "ne-north-" + "abc".charAt(i), 6,
                (worker, channel, request) -> {
                    begun.put(request.header("Request-Id"), request);
                    channel.send(Worker.answer(request, 200, "booked"));
                });
        }
        trial.configure(Trial.route("orders", "unsafe", 1200, 150, 1, "order-desk") + "," + Trial.route("stock", "safe", 1200, 150, 2, "order-desk"),
            Trial.service("order-desk"));
        EntryVm vm = trial.startEntryVms("ne-north-a", "ne-north-b").get(0);
        int changed = 0;
        int number = 0;
        for (String target : trial.hasTrouble ? ALLOWED : PLAIN) {
            String id = "order-" + number++;
            try (Client client = new Client(vm.callers)) {
                Http.Message answer = client.call("POST", target, id, 2500, Trial.KEY, "one load of dowels", 4000);
                Http.Message run = begun.get(id);
                boolean isSame = run == null || (run.method().equals("POST") && run.target().equals(target) && run.text().equals("one load of dowels"));
                if (!isSame) changed++;
                trial.record("%s: the client sent POST %s; the worker ran %s; the client got %d", id, target,
                    run == null ? "nothing" : run.method() + " " + run.target(), answer.status());
            }
        }
        trial.record("%d requests were run with another path or query", changed);
        return changed > 0 ? Trial.BROKEN : Trial.HELD;
    }
}
