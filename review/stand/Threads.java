/** Starts daemon threads, and ends the program if a case cannot run. */
final class Threads {
    interface Body {
        void run() throws Exception;
    }

    private Threads() {}

    /** Ends the program with 2 if its main thread fails, since 1 says that the rule was broken. */
    static void exitOnFailure() {
        Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> {
            failure.printStackTrace();
            System.exit(2);
        });
    }

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
