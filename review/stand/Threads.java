/** Starts daemon threads. */
final class Threads {
    interface Body {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (java.io.IOException ended) {
                // The other side closed or reset the connection.
            } catch (Exception failure) {
                failure.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
