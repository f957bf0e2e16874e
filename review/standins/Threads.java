/** Starts daemon threads; a thread whose connection fails simply ends. */
final class Threads {
    interface Work {
        void run() throws Exception;
    }

    private Threads() {
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (java.io.IOException | InterruptedException ended) {
                // The other side closed, or the run is over.
            } catch (Exception failure) {
                failure.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
