import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as its page describes it: items with revisions, leases, conditional changes, pages and watches. Each
 * entry VM has a port of its own, so that the store can be out of reach of one of them.
 */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private static final class Item {
        final String key;
        final byte[] value;
        final long revision;
        final long created;
        final long lease;

        Item(String key, byte[] value, long revision, long created, long lease) {
            this.key = key;
            this.value = value;
            this.revision = revision;
            this.created = created;
            this.lease = lease;
        }

        Map<String, Object> json() {
            return Json.of("key", key, "value", Base64.getEncoder().encodeToString(value), "revision", revision, "created", created,
                "lease", lease);
        }
    }

    private static final class Event {
        final long revision;
        final String key;
        final Item item;
        final long at = System.currentTimeMillis();

        Event(long revision, String key, Item item) {
            this.revision = revision;
            this.key = key;
            this.item = item;
        }

        Map<String, Object> json() {
            return item != null ? item.json() : Json.of("key", key, "revision", revision, "tombstone", true);
        }
    }

    /** The store as one machine reaches it. */
    final class Access {
        private final Http.Server server;
        private volatile boolean cut;

        Access(String host) throws Exception {
            server = new Http.Server(host, 0, this::serve);
        }

        String address() {
            return server.address();
        }

        /** Cuts the machine off from the store, without a reset, or lets it reach the store again. */
        void cut(boolean cut) {
            this.cut = cut;
            if (!cut) server.resetConnections();
        }

        private boolean serve(Http.Message request, OutputStream out, Socket socket) throws Exception {
            if (cut) {
                // Nothing arrives behind a cut; the machine's own time-out ends the call.
                Thread.sleep(60_000);
                return false;
            }
            handle(request, out, this);
            return true;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final long historyMilliseconds;
    private long revision = 100;
    private long dropped = 100;
    private long nextLease = 1000;

    /** @param historyMilliseconds how long the changes are kept for watches. */
    Store(long historyMilliseconds) {
        this.historyMilliseconds = historyMilliseconds;
        Http.daemon(() -> {
            while (true) {
                pause(50);
                expire();
            }
        });
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException ended) {
            throw new IllegalStateException(ended);
        }
    }

    /** Writes an item as the operator or a worker does; returns the revision. */
    synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0, ++revision);
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) remove(key, ++revision);
    }

    /** The value of a key as text; null if there is none. */
    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(item.value, StandardCharsets.UTF_8);
    }

    private long put(String key, byte[] value, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(key, value, at, before == null ? at : before.created, lease);
        items.put(key, item);
        history.add(new Event(at, key, item));
        notifyAll();
        return at;
    }

    private void remove(String key, long at) {
        items.remove(key);
        history.add(new Event(at, key, null));
        notifyAll();
    }

    private synchronized void expire() {
        long now = System.currentTimeMillis();
        leases.entrySet().removeIf(entry -> {
            if (entry.getValue()[1] > now) return false;
            end(entry.getKey());
            return true;
        });
        while (!history.isEmpty() && history.get(0).at < now - historyMilliseconds) dropped = history.remove(0).revision;
    }

    private void end(long lease) {
        List<String> keys = new ArrayList<>();
        for (Item item : items.values()) if (item.lease == lease) keys.add(item.key);
        if (keys.isEmpty()) return;
        long at = ++revision;
        for (String key : keys) remove(key, at);
    }

    private void handle(Http.Message request, OutputStream out, Access access) throws Exception {
        String path = request.path();
        if (path.equals("/api/kv-key")) readKey(request, out);
        else if (path.equals("/api/kv-range")) readRange(request, out);
        else if (path.equals("/api/kv-watch")) watch(request, out, access);
        else if (path.equals("/api/kv-txn")) change(Json.object(request.text()), out);
        else if (path.equals("/api/kv-lease")) grant(Json.object(request.text()), out);
        else if (path.startsWith("/api/kv-keep/")) keep(number(path), out);
        else if (path.startsWith("/api/kv-lease-end/")) endLease(number(path), out);
        else Http.json(out, 404, Json.of());
    }

    private static long number(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private void readKey(Http.Message request, OutputStream out) throws Exception {
        Map<String, Object> body;
        int status = 200;
        synchronized (this) {
            Item item = items.get(request.query("key"));
            body = item == null ? new LinkedHashMap<>() : item.json();
            if (item == null) status = 404;
            body.put("at", revision);
        }
        Http.json(out, status, body);
    }

    private void readRange(Http.Message request, OutputStream out) throws Exception {
        String prefix = request.query("prefix");
        String after = request.query("after");
        List<Object> page = new ArrayList<>();
        boolean more = false;
        long at;
        synchronized (this) {
            int bytes = 0;
            for (Item item : items.tailMap(after == null ? prefix : after, after == null).values()) {
                if (!item.key.startsWith(prefix)) break;
                if (page.size() >= PAGE_ITEMS || (!page.isEmpty() && bytes + item.value.length > PAGE_BYTES)) {
                    more = true;
                    break;
                }
                page.add(item.json());
                bytes += item.value.length;
            }
            at = revision;
        }
        Http.json(out, 200, Json.of("items", page, "hasMore", more, "at", at));
    }

    private void watch(Http.Message request, OutputStream out, Access access) throws Exception {
        String prefix = request.query("prefix");
        long after = Long.parseLong(request.query("after"));
        long end = System.currentTimeMillis() + Long.parseLong(request.query("waitMs"));
        List<Object> events = new ArrayList<>();
        long at;
        boolean gone;
        synchronized (this) {
            while (true) {
                gone = after < dropped;
                if (gone) break;
                for (Event event : history) if (event.revision > after && event.key.startsWith(prefix)) events.add(event.json());
                long left = end - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0 || access.cut) break;
                wait(Math.min(left, 100));
            }
            at = revision;
        }
        if (access.cut) {
            Thread.sleep(60_000);
            return;
        }
        if (gone) Http.json(out, 410, Json.of());
        else Http.json(out, 200, Json.of("events", events, "at", at));
    }

    @SuppressWarnings("unchecked")
    private void change(Map<String, Object> body, OutputStream out) throws Exception {
        List<Object> rows = (List<Object>) body.getOrDefault("expectedRevision", List.of());
        List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
        List<Object> removals = (List<Object>) body.getOrDefault("remove", List.of());
        int status = 200;
        Map<String, Object> answer;
        synchronized (this) {
            boolean holds = true;
            List<Object> current = new ArrayList<>();
            for (Object row : rows) {
                Map<String, Object> expected = (Map<String, Object>) row;
                Item item = items.get((String) expected.get("key"));
                if (item != null) current.add(item.json());
                if ((item == null ? 0L : item.revision) != (Long) expected.get("revision")) holds = false;
            }
            boolean known = true;
            for (Object put : puts) {
                Object lease = ((Map<String, Object>) put).get("lease");
                if (lease != null && (Long) lease != 0 && !leases.containsKey((Long) lease)) known = false;
            }
            if (rows.size() + puts.size() + removals.size() > 32) {
                status = 400;
                answer = Json.of();
            } else if (!known) {
                status = 404;
                answer = Json.of();
            } else if (!holds) {
                status = 412;
                answer = Json.of("items", current);
            } else {
                long at = ++revision;
                for (Object each : puts) {
                    Map<String, Object> put = (Map<String, Object>) each;
                    Object lease = put.get("lease");
                    put((String) put.get("key"), Base64.getDecoder().decode((String) put.get("value")), lease == null ? 0 : (Long) lease, at);
                }
                for (Object key : removals) if (items.containsKey((String) key)) remove((String) key, at);
                answer = Json.of("revision", at);
            }
        }
        Http.json(out, status, answer);
    }

    private void grant(Map<String, Object> body, OutputStream out) throws Exception {
        long milliseconds = ((Number) body.get("ttlMs")).longValue();
        long lease;
        synchronized (this) {
            lease = ++nextLease;
            leases.put(lease, new long[] {milliseconds, System.currentTimeMillis() + milliseconds});
        }
        Http.json(out, 200, Json.of("lease", lease, "ttlMs", milliseconds));
    }

    private void keep(long lease, OutputStream out) throws Exception {
        long[] times;
        synchronized (this) {
            times = leases.get(lease);
            if (times != null) times[1] = System.currentTimeMillis() + times[0];
        }
        Http.json(out, times == null ? 404 : 200, times == null ? Json.of() : Json.of("ttlMs", times[0]));
    }

    private void endLease(long lease, OutputStream out) throws Exception {
        boolean known;
        synchronized (this) {
            known = leases.remove(lease) != null;
            if (known) end(lease);
        }
        Http.json(out, known ? 200 : 404, Json.of());
    }
}
