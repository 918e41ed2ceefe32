import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts an unreadable row into the table of runners. Later a runner drains, as
 * planned, and another one joins.
 */
public final class UnreadableRow {
  /** The bound `drain-ms` of the site. */
  private static final long DRAIN_MILLIS = 2_000;

  /** How long the draining runner goes on serving after the store has accepted its report. */
  private static final long LINGER_MILLIS = 8_000;

  /** Less than the bound `row-bytes`, 65,536. */
  private static final String UNREADABLE = "{\"a\":".repeat(6_000);

  /** Between the mean and the maximum of the site's requests to this service. */
  private static final long WORK_MILLIS = 100;

  public static void main(String[] arguments) {
    Run.play(arguments[0], UnreadableRow::play);
  }

  private static int play(Run run, Store store, Path work, List<Entry> entries) throws Exception {
    List<Runner> runners = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      runners.add(new Runner("i-" + i, "engine", "m1"));
      runners.add(new Runner("d-" + i, "desk"));
    }
    for (Runner runner : runners) {
      runner.workMillis = WORK_MILLIS;
      store.put("servers", runner.id, runner.row("ready"));
    }
    store.put("op", "config", Config.json(1, "m1", "m2"));
    if (!Run.start(3, run, store, work, entries)) return 2;
    Thread.sleep(5_000);

    Map<String, Long> sentAt = new ConcurrentHashMap<>();
    Map<String, String> ends = new ConcurrentHashMap<>();
    AtomicInteger ids = new AtomicInteger();
    long endsAt = Run.millis() + 24_000;
    List<Thread> clients = new ArrayList<>();
    for (Entry entry : entries) {
      for (int c = 0; c < 5; c++) {
        clients.add(Run.daemon(() -> {
          while (Run.millis() < endsAt) {
            String id = "r" + ids.incrementAndGet();
            sentAt.put(id, Run.millis());
            ends.put(id, Client.call(entry, "POST", "/book/x", id, 1_500, ("deposit " + id).getBytes()));
            Thread.sleep(100);
          }
        }));
      }
    }
    Thread.sleep(3_000);
    if (run.hasTrouble) {
      store.put("servers", "a-another", UNREADABLE);
      run.note("a row of " + UNREADABLE.length() + " bytes that cannot be read is written to servers/a-another");
    }
    Thread.sleep(4_000);
    Runner leaving = runners.stream().filter(it -> it.id.equals("d-1")).findFirst().get();
    Runner joining = new Runner("d-4", "desk");
    joining.workMillis = WORK_MILLIS;
    store.put("servers", joining.id, joining.row("ready"));
    run.note("d-4 is registered");
    store.put("servers", leaving.id, leaving.row("draining"));
    long drainingAt = Run.millis();
    run.note("the store has accepted that d-1 is draining");
    Thread.sleep(LINGER_MILLIS);
    leaving.exit();
    run.note("d-1 has gone on serving for " + LINGER_MILLIS + " ms and ends");
    for (Thread client : clients) client.join(30_000);

    int late = 0;
    for (Runner.Executed request : leaving.executed) {
      if (request.atMillis() <= drainingAt + DRAIN_MILLIS) continue;
      if (request.atMillis() > drainingAt + LINGER_MILLIS) continue;
      late++;
      run.note("reached d-1 " + (request.atMillis() - drainingAt) + " ms after its draining: "
          + request.id() + ", sent by its client " + (sentAt.get(request.id()) - drainingAt)
          + " ms after it, ended: " + ends.get(request.id()));
    }
    for (Runner runner : runners) run.note(runner.id + " ran " + runner.executed.size() + " requests");
    run.note("d-4 ran " + joining.executed.size() + " requests");
    Map<String, Integer> kinds = new TreeMap<>();
    ends.values().forEach(end -> kinds.merge(end, 1, Integer::sum));
    run.note("answers: " + kinds);

    // What follows is recorded and not judged: a planned restart of each machine.
    for (Entry entry : entries) {
      entry.signal("TERM");
      entry.awaitExit();
      entry.start();
      run.note(entry.name + " was stopped with SIGTERM and started again");
    }
    Thread.sleep(15_000);
    for (Entry entry : entries) {
      run.note(entry.name + " 15 s after its restart: alive " + entry.isAlive() + ", ready " + entry.isReady()
          + ", a request: " + Client.call(entry, "POST", "/book/x", "z-" + entry.name, 1_500, new byte[0]));
    }
    run.note(late + " requests reached d-1 later than " + DRAIN_MILLIS + " ms after the store had accepted"
        + " that it is draining");
    return late > 0 ? 1 : 0;
  }
}
