import java.util.List;

/** The operator raises the limit of a body. Requests within the new limit must be served once the change applies. */
public final class LargeBody {
    private static final long APPLY_MILLISECONDS = 2000;

    private LargeBody() {}

    public static void main(String[] arguments) {
        Lab.run(arguments[0], LargeBody::trial);
    }

    private static void trial(String folder) throws Exception {
        Lab lab = new Lab(folder, 20_000);
        Worker worker = new Worker("i-1", "orders", "127.0.0.1", "zone-a", request -> Worker.bytes("ok " + request.body.length));
        int before = lab.trouble ? 2 * 1024 * 1024 : 1024 * 1024;
        int after = 2 * before;
        int size = before + before / 2;
        lab.store.put("op/config", configuration(1, before));
        lab.store.put("servers/i-1", worker.entry("ready"));
        Vm vm = lab.vm("front-a-1", "127.0.0.51", "zone-a", lab.store.new Access("127.0.0.1"));
        vm.start();
        vm.awaitReady(30_000);
        Store.pause(1500);
        lab.note("version 1: bodies of at most " + before + " bytes");
        send(lab, vm, worker, "early", size);
        lab.store.put("op/config", configuration(3, after));
        lab.note("version 3 is acknowledged: bodies of at most " + after + " bytes");
        Store.pause(APPLY_MILLISECONDS + 500);
        int unanswered = 0;
        for (int number = 1; number <= 10; number++) {
            if (!send(lab, vm, worker, "late-" + number, size)) unanswered++;
            Store.pause(300);
        }
        for (String line : vm.logLines("configured")) lab.note("log: " + line);
        for (String line : vm.logLines("RequestTooBig")) lab.note("log: " + line);
        lab.finish(unanswered > 0, unanswered + " of 10 orders of " + size + " bytes, sent one by one in calm and within the limit, got no answer");
    }

    private static boolean send(Lab lab, Vm vm, Worker worker, String id, int size) {
        Caller.Answer answer = Caller.send(vm.callers, "POST", "/shop/order", id, "key1", 4000, new byte[size]);
        lab.note(id + ": order of " + size + " bytes, status " + answer.status + " " + answer.text.lines().findFirst().orElse("") + answer.failure
            + (worker.ran(id) ? ", ran" : ", did not run"));
        return answer.status == 200;
    }

    private static String configuration(long version, int bodyBytes) {
        return Lab.configuration(version, bodyBytes, List.of("key1"), List.of(Lab.route("r-shop", "/shop/", "unsafe", 4000, 1)));
    }
}
