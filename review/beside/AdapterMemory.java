import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model runner whose models leave room for three adapters; in a burst, clients ask for more of
 * them at once.
 */
public final class AdapterMemory {
  /** As in the site: memory of a runner for weights and adapters, and the size of an adapter. */
  private static final int RUNNER_MEGABYTES = 200_000;
  private static final int ADAPTER_MEGABYTES = 66;

  /** The site's models have 42,700 to 72,700 MB. */
  private static final int MODEL_MEGABYTES = 66_600;

  private static final int USUAL_ADAPTERS = 3;
  private static final int BURST_FACTOR = 2;
  private static final long PLAY_MILLIS = 20_000;
  private static final long HEARTBEAT_MILLIS = 1_200;

  /** A runner that loads adapters, and crashes when it is ordered to load more than it can hold. */
  private static final class AdapterRunner extends Runner {
    private final Run run;
    private final Store store;
    private final Map<String, Set<String>> adapters = new TreeMap<>();
    private final List<String> pending = new ArrayList<>();

    /** Whether the runner was ordered to load more than it can hold. */
    volatile boolean isOverloaded = false;

    AdapterRunner(Run run, Store store, String id, String... models) throws IOException {
      super(id, "engine", models);
      this.run = run;
      this.store = store;
    }

    @Override
    protected synchronized String modelsJson() {
      List<String> all = new ArrayList<>();
      for (String model : models) {
        List<String> names = new ArrayList<>();
        for (String adapter : adapters.getOrDefault(model, Set.of())) names.add('"' + adapter + '"');
        all.add("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[" + String.join(",", names) + "]}");
      }
      return "[" + String.join(",", all) + "]";
    }

    @Override
    protected synchronized String report() {
      List<String> names = new ArrayList<>();
      for (String adapter : pending) names.add('"' + adapter + "@1\"");
      String report = super.report();
      return report.substring(0, report.length() - 1) + ",\"pending\":[" + String.join(",", names) + "]}";
    }

    private int megabytes() {
      int count = pending.size();
      for (Set<String> names : adapters.values()) count += names.size();
      int weights = (models.size() + (loading == null ? 0 : 1)) * MODEL_MEGABYTES;
      return weights + count * ADAPTER_MEGABYTES;
    }

    @Override
    protected synchronized int statusOf(String json, String operation, String model) {
      String adapter = Store.field(json, "adapter");
      int status = adapter == null
          ? super.statusOf(json, operation, model)
          : adapterStatus(json, operation, model, adapter);
      String what = model + (adapter == null ? "" : "/" + adapter);
      run.note(id + " is ordered by " + Store.field(json, "holder") + ": " + operation + " " + what + " -> "
          + status + ", then holds " + megabytes() + " MB of " + RUNNER_MEGABYTES);
      if (operation.equals("unloading") && adapter == null && status == 202) adapters.remove(model);
      if (megabytes() > RUNNER_MEGABYTES && !isOverloaded) {
        isOverloaded = true;
        Run.daemon(this::crash);
      }
      return status;
    }

    private int adapterStatus(String json, String operation, String model, String adapter) {
      if (Long.parseLong(Store.field(json, "precondition")) != seq || !models.contains(model)) return 409;
      Set<String> names = adapters.computeIfAbsent(model, it -> new TreeSet<>());
      if (operation.equals("unloading")) {
        names.remove(adapter);
        seq++;
        return 200;
      }
      String name = model + "/" + adapter;
      if (names.contains(adapter) || pending.contains(name)) return 200;
      seq++;
      pending.add(name);
      Run.daemon(() -> {
        Thread.sleep(19);
        synchronized (this) {
          pending.remove(name);
          names.add(adapter);
        }
      });
      return 202;
    }

    private void crash() throws Exception {
      run.note(id + " crashes: it was ordered to load more than it can hold");
      exit();
      Thread.sleep(3 * HEARTBEAT_MILLIS);
      store.remove("servers", id);
    }

    @Override
    protected void run(Http.Message request, Socket socket) throws Exception {
      String[] model = request.header("cactusfold-model").split("/");
      boolean isLoaded;
      synchronized (this) {
        isLoaded = models.contains(model[0])
            && (model.length == 1 || adapters.getOrDefault(model[0], Set.of()).contains(model[1]));
      }
      if (!isLoaded) {
        Http.answer(socket.getOutputStream(), 421, Map.of("Cactusfold-Instance-Id", id), new byte[0]);
        return;
      }
      executed.add(new Executed(request.header("cactusfold-request-id"), Run.millis(),
          request.body.length, request));
      Thread.sleep(workMillis);
      stream(request, socket.getOutputStream());
    }
  }

  public static void main(String[] arguments) {
    Run.play(arguments[0], AdapterMemory::play);
  }

  private static int play(Run run, Store store, Path work, List<Entry> entries) throws Exception {
    List<AdapterRunner> runners = List.of(
        new AdapterRunner(run, store, "i-1", "m1", "m2", "m3"),
        new AdapterRunner(run, store, "i-2", "m4", "m5", "m6"));
    for (AdapterRunner runner : runners) {
      store.put("servers", runner.id, runner.row("ready"));
      Run.daemon(() -> {
        while (!runner.isOverloaded) {
          Thread.sleep(HEARTBEAT_MILLIS);
          if (!runner.isOverloaded) store.put("servers", runner.id, runner.row("ready"));
        }
      });
    }
    store.put("op", "config", Config.json(1, MODEL_MEGABYTES, 63, "m1", "m2", "m3", "m4", "m5", "m6"));
    if (!Run.start(2, run, store, work, entries)) return 2;
    Thread.sleep(6_000);
    Map<String, Integer> ends = new ConcurrentHashMap<>();
    AtomicInteger ids = new AtomicInteger();
    int adapters = run.hasTrouble ? USUAL_ADAPTERS * BURST_FACTOR : USUAL_ADAPTERS;
    run.note("clients ask for " + adapters + " adapters of m1");
    long endsAt = Run.millis() + PLAY_MILLIS;
    List<Thread> clients = new ArrayList<>();
    for (int a = 1; a <= adapters; a++) {
      String model = "m1/a" + a;
      Entry entry = entries.get(a % entries.size());
      clients.add(Run.daemon(() -> {
        while (Run.millis() < endsAt) {
          String id = "s" + ids.incrementAndGet();
          String end = Client.call(entry, "POST", "/once/x", id, 20_000,
              ("script " + id).getBytes(StandardCharsets.UTF_8), "Cactusfold-Model: " + model,
              "Cactusfold-Token-Usage: 1460,60", "Cactusfold-Prompt-Prefix: 5c1e07a2:350," + ids + ":1110");
          ends.merge(end, 1, Integer::sum);
          Thread.sleep(300);
        }
      }));
    }
    for (Thread client : clients) client.join(PLAY_MILLIS + 30_000);
    run.note("ends of streams: " + new TreeMap<>(ends));
    boolean isBroken = runners.stream().anyMatch(it -> it.isOverloaded);
    run.note(isBroken ? "a runner was ordered to load more than it can hold" : "no runner was overloaded");
    return isBroken ? 1 : 0;
  }
}
