import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Clients send queries and a body that HTTP allows. The worker must get them as they were sent. */
public final class ChangedTarget {
    private ChangedTarget() {}

    public static void main(String[] arguments) {
        Lab.run(arguments[0], ChangedTarget::trial);
    }

    private static void trial(String folder) throws Exception {
        Lab lab = new Lab(folder, 20_000);
        Worker worker = new Worker("i-1", "orders", "127.0.0.1", "zone-a", request -> Worker.bytes("ok"));
        lab.store.put("op/config", Lab.configuration(1, Lab.BODY_BYTES, List.of("key1"), List.of(
            Lab.route("r-shop", "/shop/", "unsafe", 1200, 1), Lab.route("r-look", "/look/", "safe", 1200, 2))));
        lab.store.put("servers/i-1", worker.entry("ready"));
        Vm vm = lab.vm("front-a-1", "127.0.0.41", "zone-a", lab.store.new Access("127.0.0.1"));
        vm.start();
        vm.awaitReady(30_000);
        Store.pause(1500);

        Map<String, String> sent = new LinkedHashMap<>();
        if (lab.trouble) {
            sent.put("GET /look/leaf?maker=O'Brien&size=23", "");
            sent.put("POST /shop/order?note=for%20St%20Mary's&count=2", "order 1");
            sent.put("GET /look/leaf?filter=('gold')", "");
            sent.put("GET /look/leaf?size=23 with a body", "{\"sizes\":[23,24]}");
        } else {
            sent.put("GET /look/leaf?maker=OBrien&size=23", "");
            sent.put("POST /shop/order?note=for%20St%20Marys&count=2", "order 1");
            sent.put("GET /look/leaf?filter=(gold)", "");
            sent.put("POST /shop/order?size=23 with a body", "{\"sizes\":[23,24]}");
        }
        int changed = 0;
        int number = 0;
        for (int turn = 0; turn < 5; turn++) {
            for (Map.Entry<String, String> each : sent.entrySet()) {
                String[] words = each.getKey().split(" ");
                String id = "id-" + ++number;
                byte[] body = each.getValue().isEmpty() ? null : Worker.bytes(each.getValue());
                Caller.Answer answer = Caller.send(vm.callers, words[0], words[1], id, "key1", 1500, body);
                Http.Message run = worker.find(id);
                String target = run == null ? null : run.target();
                boolean same = run == null || (run.method().equals(words[0]) && target.equals(words[1]) && run.text().equals(each.getValue()));
                if (!same) changed++;
                lab.note(id + " sent " + words[0] + " " + words[1] + " body [" + each.getValue() + "], answered " + answer.status
                    + answer.failure + ", ran as " + (run == null ? "nothing" : run.method() + " " + target + " body [" + run.text() + "]")
                    + (same ? "" : " CHANGED"));
            }
        }
        lab.finish(changed > 0, changed + " of " + number + " requests ran with another query or body than the client's");
    }
}
