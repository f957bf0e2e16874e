import java.util.ArrayList;
import java.util.List;

/**
 * An entry VM is cut off from the store for some seconds, in which a large configuration changes several times and a key is
 * taken away. Requests with that key must be refused once the VM is in touch again.
 */
public final class StaleConfiguration {
    // Seven times `big_config`, count = 350.
    private static final int ROUTES = 7 * 350;
    // `config_storm`, for_s = 4.0, gap_s = 0.33.
    private static final int CHANGES = 12;
    private static final long GAP_MILLISECONDS = 330;
    // `core_cut`, for_s = 5.5.
    private static final long CUT_MILLISECONDS = 5500;
    private static final long CONTACT_MILLISECONDS = 3000;
    private static final long APPLY_MILLISECONDS = 2000;
    private static final long HISTORY_MILLISECONDS = 20_000;

    private StaleConfiguration() {}

    public static void main(String[] arguments) {
        Lab.run(arguments[0], StaleConfiguration::trial);
    }

    private static void trial(String folder) throws Exception {
        Lab lab = new Lab(folder, HISTORY_MILLISECONDS);
        Worker worker = new Worker("i-1", "orders", "127.0.0.1", "zone-a", request -> Worker.bytes("ok"));
        lab.store.put("op/config", configuration(1, List.of("key1", "key2")));
        lab.store.put("servers/i-1", worker.entry("ready"));
        Store.Access first = lab.store.new Access("127.0.0.1");
        Store.Access second = lab.store.new Access("127.0.0.1");
        Vm cut = lab.vm("front-a-1", "127.0.0.21", "zone-a", first);
        Vm other = lab.vm("front-b-1", "127.0.0.22", "zone-b", second);
        cut.start();
        other.start();
        cut.awaitReady(30_000);
        other.awaitReady(30_000);
        Store.pause(4000);
        lab.note("both VMs are ready; the configuration has " + configuration(1, List.of("key1", "key2")).length() + " bytes");

        long start = System.currentTimeMillis();
        if (lab.trouble) {
            first.cut(true);
            lab.note("front-a-1 is cut off from the store");
            Http.daemon(() -> {
                Store.pause(CUT_MILLISECONDS);
                first.cut(false);
                lab.note("front-a-1 reaches the store again");
            });
        }
        for (int change = 1; change <= CHANGES; change++) {
            List<String> keys = change < CHANGES ? List.of("key1", "key2") : List.of("key1");
            lab.store.put("op/config", configuration(1 + 2 * change, keys));
            lab.note("version " + (1 + 2 * change) + " is acknowledged, keys " + keys);
            if (change < CHANGES) Store.pause(GAP_MILLISECONDS);
        }
        long acknowledged = System.currentTimeMillis();
        long inTouch = Math.max(start + CUT_MILLISECONDS + CONTACT_MILLISECONDS, acknowledged + APPLY_MILLISECONDS);
        int wrong = 0;
        int sent = 0;
        for (int number = 1; System.currentTimeMillis() < start + 26_000; number++) {
            for (Vm vm : List.of(cut, other)) {
                String id = vm.name + "-" + number;
                boolean counts = System.currentTimeMillis() >= inTouch;
                Caller.Answer answer = Caller.send(vm.callers, "GET", "/look/" + number, id, "key2", 1500, null);
                boolean ran = worker.ran(id);
                if (counts) sent++;
                if (counts && ran) wrong++;
                lab.note(id + " with the key that was taken away: status " + answer.status + " " + answer.failure
                    + (ran ? " ran" : " did not run") + (counts ? "" : " (does not count yet)"));
            }
            Store.pause(500);
        }
        for (Vm vm : lab.vms) {
            lab.note(vm.name + (vm.isAlive() ? " runs" : " has ended") + ", peak " + vm.peakMegabytes() + " MB");
            for (String line : vm.logLines("store-")) lab.note(vm.name + " log: " + line);
            for (String line : vm.logLines("configured")) lab.note(vm.name + " log: " + line);
        }
        lab.finish(wrong > 0, wrong + " of " + sent
            + " requests ran that were sent with the key, later than 2 s after its removal, to machines in touch");
    }

    private static String configuration(long version, List<String> keys) {
        List<Object> routes = new ArrayList<>();
        routes.add(Lab.route("r-look", "/look/", "safe", 1200, 2));
        for (int number = 100_000; number < 100_000 + ROUTES; number++) {
            routes.add(Lab.route("r-" + number, "/part" + number + "/", "safe", 1200, 2));
        }
        return Lab.configuration(version, Lab.BODY_BYTES, keys, routes);
    }
}
