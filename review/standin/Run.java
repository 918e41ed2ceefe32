import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One run of a case: its record and its verdict. */
final class Run implements AutoCloseable {
  /** A task that may fail. */
  interface Task {
    void run() throws Exception;
  }

  /** What a case does; returns 1 if the rule was broken, 0 if it held, 2 if it could not run. */
  interface Play {
    int run(Run run, Store store, Path work, List<Entry> entries) throws Exception;
  }

  private static final long startedNanos = System.nanoTime();
  private final PrintWriter record;

  /** Whether the disruption is part of this run. */
  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

  Run(Path folder) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    note("disruption: " + (hasTrouble ? "yes" : "no"));
  }

  /**
   * Plays a case, whose record goes into [folder], with the settings and logs of the processes in a
   * temporary folder; then ends the processes and the program.
   */
  static void play(String folder, Play play) {
    List<Entry> entries = new ArrayList<>();
    int code = 2;
    try (Run run = new Run(Path.of(folder)); Store store = new Store()) {
      code = play.run(run, store, Files.createTempDirectory("review-"), entries);
      if (code == 2) run.note("no result");
    } catch (Throwable e) {
      System.err.println("the case could not run: " + e);
      code = 2;
    } finally {
      entries.forEach(Entry::close);
    }
    System.exit(code);
  }

  /** Starts [count] entry processes at loopback addresses of their own, and waits for them. */
  static boolean start(int count, Run run, Store store, Path work, List<Entry> entries)
      throws Exception {
    for (int i = 1; i <= count; i++) {
      entries.add(new Entry(work, "front-" + i, "127.0.0." + i, "z1", store.port()));
      entries.get(i - 1).start();
    }
    for (Entry entry : entries) {
      if (!entry.awaitReady(20_000)) {
        run.note(entry.name + " did not become ready");
        return false;
      }
    }
    return true;
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
