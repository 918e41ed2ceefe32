import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One run of a case: its record and its verdict. */
final class Run implements AutoCloseable {
  /** A task that may fail. */
  interface Task {
    void run() throws Exception;
  }

  private static final long startedNanos = System.nanoTime();
  private final PrintWriter record;

  /** Whether the disruption is part of this run. */
  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

  Run(Path folder) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    note("disruption: " + (hasTrouble ? "yes" : "no"));
  }

  /** Milliseconds since the program started. */
  static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
  }

  synchronized void note(String line) {
    record.printf("%7d ms  %s%n", millis(), line);
  }

  /** Runs [task] on a thread that does not keep the program alive. */
  static Thread daemon(Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (Exception e) {
        // The connection or the program has ended.
      }
    });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  @Override
  public void close() {
    record.close();
  }
}
