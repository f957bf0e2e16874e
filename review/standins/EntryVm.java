import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry VM of the project, started with the command and the settings template of the deploy file. */
final class EntryVm implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-zA-Z_.0-9]+)(\\|json)?}}");

    final String callers;
    private final String readiness;
    private final ProcessBuilder command;
    private Process process;
    private volatile boolean isClosed;
    private final Path log;

    /** @param ip a loopback address of its own, as the port of the metrics is the same on all VMs. */
    EntryVm(Path repository, Path folder, String name, String ip, String zone, String platform) throws IOException {
        callers = ip + ":" + freePort(ip);
        readiness = ip + ":" + freePort(ip);
        Map<String, Object> fields = new HashMap<>(Map.of(
            "nodeName", name, "ip", ip, "zone", zone, "region", zone.substring(0, zone.lastIndexOf('-')),
            "listen.front", callers, "listen.readiness", readiness, "listen.directory", ip + ":" + freePort(ip),
            "internalPortRange.0", (long) freePort(ip), "platform.address", platform, "cloudApi.address", platform));
        fields.putAll(Map.of("limits.cpuShare", 0.75, "limits.cpuCores", 1, "bounds.gracePeriodS", 8, "bounds.ttl_max_s", 5,
            "bounds.retryBudgetRatio", 0.2, "bounds.retryBudgetExtra", 56, "bounds.budgetWindowS", 10,
            "bounds.leaseDurationMs", 3000, "bounds.reportWindowS", 5, "bounds.usageLatenessS", 10));
        Path settings = folder.resolve(name + ".settings");
        Files.writeString(settings, fill(Files.readString(repository.resolve("deploy/settings.jsonc")), fields));
        log = folder.resolve(name + ".log");
        Matcher run = RUN.matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("the deploy file has no run command");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).directory(repository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("RAGWORTLEVER_SETTINGS", settings.toString());
        command = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = command.start();
    }

    /** Waits until the VM says that it is ready, or throws. */
    void awaitReady() throws IOException, InterruptedException {
        String[] parts = readiness.split(":");
        for (int i = 0; i < 400; i++) {
            if (!process.isAlive()) throw new IOException("the entry VM ended: " + Files.readString(log));
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(("GET /api/readiness HTTP/1.1\r\nHost: " + readiness + "\r\n\r\n").getBytes());
                if (Http.readResponse(socket.getInputStream()).status() == 200) return;
            } catch (IOException notYet) {
                // It is still starting.
            }
            Thread.sleep(100);
        }
        throw new IOException("the entry VM did not become ready: " + Files.readString(log));
    }

    /** Kills the process. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Starts the process again if it has ended, as the platform does. */
    synchronized void startAgain() throws IOException {
        if (process.isAlive() || isClosed) return;
        process = command.start();
    }

    boolean isRunning() {
        return process.isAlive();
    }

    /** How the process has ended; null while it runs. */
    Integer exitStatus() {
        return process.isAlive() ? null : process.exitValue();
    }

    /** The last lines of the VM's log. */
    List<String> lastLines(int count) throws IOException {
        List<String> lines = new ArrayList<>(Files.readAllLines(log, java.nio.charset.StandardCharsets.ISO_8859_1));
        return lines.subList(Math.max(0, lines.size() - count), lines.size());
    }

    @Override
    public synchronized void close() {
        isClosed = true;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException ignored) {
            Thread.currentThread().interrupt();
        }
    }

    private static String fill(String template, Map<String, Object> fields) throws IOException {
        Matcher matcher = PLACEHOLDER.matcher(template);
        StringBuilder filled = new StringBuilder();
        while (matcher.find()) {
            Object value = fields.get(matcher.group(1));
            if (value == null) throw new IOException("no value for the placeholder " + matcher.group(1));
            matcher.appendReplacement(filled, Matcher.quoteReplacement(matcher.group(2) == null ? value.toString() : Json.write(value)));
        }
        return matcher.appendTail(filled).toString();
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return socket.getLocalPort();
        }
    }
}
