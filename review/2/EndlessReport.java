import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One of three model runners sends, in a share of its answers, a body without end. */
public final class EndlessReport {
  /** Each of this many answers of the runner in trouble has no end. */
  private static final int SPOILED_EACH = 3;

  /** 400 Mbit/s; the link of a machine carries 490 Mbit/s. */
  private static final long BYTES_PER_SECOND = 50_000_000;

  /** The time limit of the route /book/ in the configuration. */
  private static final long TIMEOUT_MILLIS = 1_500;

  private static final int CLIENTS = 8;
  private static final long PLAY_MILLIS = 45_000;

  private record Call(String id, String entry, long sentAt, long tookMillis, String end) {}

  private static volatile boolean isInTrouble = false;
  private static final AtomicInteger answers = new AtomicInteger();
  private static final AtomicInteger endless = new AtomicInteger();

  /** A model runner that sends bodies without end in some of its answers while in trouble. */
  private static final class SickRunner extends Runner {
    private final Run run;

    SickRunner(Run run, String id) throws IOException {
      super(id, "engine", "m1");
      this.run = run;
    }

    @Override
    protected void handle(Http.Message request, Socket socket) throws Exception {
      if (!isInTrouble || answers.incrementAndGet() % SPOILED_EACH != 0) {
        super.handle(request, socket);
        return;
      }
      endless.incrementAndGet();
      run.note("a body without end answers " + request.startLine);
      long began = System.nanoTime();
      try {
        send(request, socket.getOutputStream());
      } catch (IOException e) {
        run.note("the caller closed it after " + (System.nanoTime() - began) / 1_000_000 + " ms");
      }
    }

    private long send(Http.Message request, OutputStream out) throws Exception {
      String id = request.header("cactusfold-request-id");
      String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
          + (id == null ? "" : "Cactusfold-Request-Id: " + id + "\r\n") + "\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      byte[] chunk = ("4000\r\n" + "x".repeat(0x4000) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
      long began = System.nanoTime();
      long sent = 0;
      while (true) {
        out.write(chunk);
        sent += chunk.length;
        long aheadNanos = sent * 1_000_000_000L / BYTES_PER_SECOND - (System.nanoTime() - began);
        if (aheadNanos > 1_000_000) Thread.sleep(aheadNanos / 1_000_000);
      }
    }
  }

  public static void main(String[] arguments) {
    Run.play(arguments[0], EndlessReport::play);
  }

  private static int play(Run run, Store store, Path work, List<Entry> entries) throws Exception {
    List<Runner> runners = new ArrayList<>();
    runners.add(new SickRunner(run, "i-1"));
    for (int i = 2; i <= 3; i++) runners.add(new Runner("i-" + i, "engine", "m1"));
    for (int i = 1; i <= 3; i++) runners.add(new Runner("d-" + i, "desk"));
    for (Runner runner : runners) {
      runner.workMillis = 43;
      runner.events = 10;
      store.put("servers", runner.id, runner.row("ready"));
    }
    store.put("op", "config", Config.json(1, "m1", "m2"));
    if (!Run.start(2, run, store, work, entries)) return 2;
    Thread.sleep(5_000);
    isInTrouble = run.hasTrouble;
    Map<String, Call> calls = new ConcurrentHashMap<>();
    Map<String, Call> streams = new ConcurrentHashMap<>();
    AtomicInteger ids = new AtomicInteger();
    long endsAt = Run.millis() + PLAY_MILLIS;
    List<Thread> clients = new ArrayList<>();
    for (Entry entry : entries) {
      for (int c = 0; c < CLIENTS; c++) {
        clients.add(Run.daemon(() -> {
          while (Run.millis() < endsAt) {
            call(entry, calls, "/book/x", "b" + ids.incrementAndGet(), 2 * TIMEOUT_MILLIS);
            Thread.sleep(200);
          }
        }));
      }
      for (int c = 0; c < 3; c++) {
        clients.add(Run.daemon(() -> {
          while (Run.millis() < endsAt) {
            String id = "s" + ids.incrementAndGet();
            call(entry, streams, "/draft/x", id, 15_000, "Cactusfold-Model: m1",
                "Cactusfold-Token-Usage: 1460,30",
                "Cactusfold-Prompt-Prefix: 5c1e07a" + id.hashCode() % 7 + ":350," + id.hashCode() + ":1110");
            Thread.sleep(100);
          }
        }));
      }
    }
    for (Thread client : clients) client.join(PLAY_MILLIS + 30_000);
    int unanswered = 0;
    int late = 0;
    List<Call> sorted = new ArrayList<>(calls.values());
    sorted.sort((a, b) -> Long.compare(a.sentAt, b.sentAt));
    for (Call call : sorted) {
      if (call.tookMillis < TIMEOUT_MILLIS) continue;
      unanswered++;
      if (call.tookMillis < TIMEOUT_MILLIS + 500) continue;
      late++;
      run.note(call.entry + " had no answer to " + call.id + ", sent at " + call.sentAt + " ms, for "
          + call.tookMillis + " ms: " + call.end);
    }
    for (Runner runner : runners) run.note(runner.id + " ran " + runner.executed.size() + " requests");
    run.note(calls.size() + " requests to /book/ and " + streams.size() + " streams were sent; "
        + endless + " answers had no end");
    run.note(unanswered + " requests to /book/ had no answer at their time limit of " + TIMEOUT_MILLIS
        + " ms, and " + late + " of them had none half a second later");
    for (Entry entry : entries) {
      long errors = entry.output().lines().filter(it -> it.contains("OutOfMemoryError")).count();
      run.note(entry.name + " alive " + entry.isAlive() + ", lines with OutOfMemoryError in its log: " + errors);
    }
    return unanswered >= 8 && late * 2 > unanswered ? 1 : 0;
  }

  private static void call(Entry entry, Map<String, Call> calls, String path, String id,
      long deadlineMillis, String... headers) {
    long sentAt = Run.millis();
    String end = Client.call(entry, "POST", path, id, deadlineMillis, ("kit " + id).getBytes(), headers);
    calls.put(id, new Call(id, entry.name, sentAt, Run.millis() - sentAt, end));
  }
}
