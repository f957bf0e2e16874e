import java.io.File;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry VM: the program of the deploy file, started with its command and with settings from its template. */
final class Vm {
    final String name;
    final String host;
    final String callers;
    final String directory;
    private final String readiness;
    private final Path repository;
    private final Path settings;
    private final Path log;
    private Process process;
    private Process shell;
    private boolean isClosed;

    /** @param host loopback address of this VM. */
    Vm(Path repository, Path folder, String name, String host, String zone, String store, String duties) throws Exception {
        this.repository = repository;
        this.name = name;
        this.host = host;
        callers = host + ":" + freePort(host);
        directory = host + ":" + freePort(host);
        readiness = host + ":" + freePort(host);
        settings = folder.resolve(name + ".jsonc");
        log = folder.resolve(name + ".log");
        String text = Files.readString(repository.resolve("deploy/settings.jsonc"));
        String[][] values = {
            {"nodeName|json", quoted(name)}, {"ip|json", quoted(host)}, {"zone|json", quoted(zone)}, {"region|json", quoted("region")},
            {"listen.front|json", quoted(callers)}, {"listen.readiness|json", quoted(readiness)},
            {"listen.directory|json", quoted(directory)}, {"internalPortRange.0|json", "" + freePort(host)},
            {"platform.address|json", quoted(store)}, {"cloudApi.address", duties}, {"limits.cpuShare|json", "0.75"},
            {"limits.cpuCores|json", "1"}, {"bounds.gracePeriodS|json", "8"}, {"bounds.ttl_max_s|json", "5"},
            {"bounds.retryBudgetRatio|json", "0.2"}, {"bounds.retryBudgetExtra|json", "54"}, {"bounds.budgetWindowS|json", "10"},
            {"bounds.leaseDurationMs|json", "3000"}, {"bounds.reportWindowS|json", "5"}, {"bounds.usageLatenessS|json", "10"},
        };
        for (String[] value : values) text = text.replace("{{" + value[0] + "}}", value[1]);
        if (text.contains("{{")) throw new IllegalStateException("the template has a placeholder that is not filled in: " + text);
        // A fixed port of the metrics would collide with other runs.
        Files.writeString(settings, text.replaceAll("\"metricsPort\": *[0-9]+", "\"metricsPort\": " + freePort(host)));
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }

    static int freePort(String host) throws Exception {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            return socket.getLocalPort();
        }
    }

    synchronized void start() throws Exception {
        if (isClosed) throw new IllegalStateException("the trial has ended");
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("the deploy file has no command");
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        List<String> kept = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
        builder.environment().keySet().removeIf(variable -> !kept.contains(variable));
        builder.environment().put("RAGWORTLEVER_SETTINGS", settings.toString());
        builder.directory(repository.toFile()).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /**
     * Lets the process use a share of one core: in each tenth of a second it runs until the quota is used up, and then not at
     * all until the tenth has ended.
     */
    void limitProcessor(double share) {
        long quotaMilliseconds = Math.round(share * 100);
        Http.daemon(() -> {
            try {
                // One shell for all signals, since starting a program for each would take too long.
                if (shell == null) shell = new ProcessBuilder("bash").start();
                while (isAlive()) {
                    long end = System.nanoTime() + 100_000_000L;
                    long used = processorMilliseconds();
                    boolean stopped = false;
                    while (System.nanoTime() < end) {
                        Thread.sleep(2);
                        if (!stopped && processorMilliseconds() - used >= quotaMilliseconds) {
                            order("STOP");
                            stopped = true;
                        }
                    }
                    if (stopped) order("CONT");
                }
            } catch (Exception ended) {
                // The process has ended.
            }
        });
    }

    private void order(String signal) throws Exception {
        shell.getOutputStream().write(("kill -" + signal + " " + process.pid() + "\n").getBytes());
        shell.getOutputStream().flush();
    }

    private long processorMilliseconds() throws Exception {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        // User and system time, in ticks of 10 ms.
        return 10 * (Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int exitStatus() {
        return process.exitValue();
    }

    /** Sends a signal by its name: STOP, CONT, TERM, KILL, HUP. */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).inheritIO().start().waitFor();
    }

    /** Peak of the resident memory in megabytes; 0 if the process has ended. */
    long peakMegabytes() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmHWM:")) return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
            }
        } catch (Exception ended) {
            return 0;
        }
        return 0;
    }

    boolean isReady() {
        try (Socket socket = connect(readiness)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            return Http.readAnswer(socket.getInputStream()).status() == 200;
        } catch (Exception notYet) {
            return false;
        }
    }

    void awaitReady(long milliseconds) {
        long end = System.currentTimeMillis() + milliseconds;
        while (!isReady()) {
            if (System.currentTimeMillis() > end) throw new IllegalStateException(name + " is not ready");
            Store.pause(50);
        }
    }

    static Socket connect(String address) throws Exception {
        String[] parts = address.split(":");
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName(parts[0]), Integer.parseInt(parts[1])), 1000);
        return socket;
    }

    List<String> logLines(String part) throws Exception {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(log, java.nio.charset.StandardCharsets.ISO_8859_1)) if (line.contains(part)) found.add(line);
        return found;
    }

    synchronized void kill() {
        isClosed = true;
        if (shell != null) shell.destroyForcibly();
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException ended) {
            throw new IllegalStateException(ended);
        }
    }
}
