import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stands in for the platform's store: rows, transactions and a feed of changes. */
final class Store implements AutoCloseable {
  private record Row(String table, String key, long version, String value) {
    String json() {
      String start = "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"ver\":" + version;
      return start + (value == null ? ",\"tombstone\":true}" : ",\"value\":\"" + value + "\"}");
    }
  }

  private static final Pattern ENTRY = Pattern.compile("\\{[^{}]*\\}");

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final ServerSocket server;
  private final long startedNanos = System.nanoTime();
  private long version = 0;

  Store() throws IOException {
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Run.daemon(() -> {
      while (true) {
        Socket socket = server.accept();
        Run.daemon(() -> serve(socket));
      }
    });
  }

  int port() {
    return server.getLocalPort();
  }

  synchronized void put(String table, String key, byte[] value) {
    version++;
    change(new Row(table, key, version, Base64.getEncoder().encodeToString(value)));
  }

  void put(String table, String key, String value) {
    put(table, key, value.getBytes(StandardCharsets.UTF_8));
  }

  synchronized void remove(String table, String key) {
    version++;
    change(new Row(table, key, version, null));
  }

  private void change(Row row) {
    String name = row.table + "\0" + row.key;
    if (row.value == null) rows.remove(name); else rows.put(name, row);
    history.add(row);
    notifyAll();
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Http.Message call = Http.read(in);
        if (call == null) return;
        Object[] answer = switch (call.path()) {
          case "/rows-get" -> get(call);
          case "/rows-feed" -> feed(call);
          case "/rows-tx" -> transact(call);
          default -> new Object[] {404, "{}"};
        };
        byte[] body = ((String) answer[1]).getBytes(StandardCharsets.UTF_8);
        Http.answer(socket.getOutputStream(), (Integer) answer[0],
            Map.of("Content-Type", "application/json"), body);
      }
    }
  }

  private String end() {
    return ",\"ver\":" + version + ",\"now-ms\":" + (System.nanoTime() - startedNanos) / 1_000_000 + "}";
  }

  private synchronized Object[] get(Http.Message call) {
    String from = call.query("from") == null ? "" : call.query("from");
    String until = call.query("to");
    int limit = call.query("limit") == null ? 500 : Integer.parseInt(call.query("limit"));
    List<String> found = new ArrayList<>();
    boolean hasMore = false;
    for (Row row : rows.values()) {
      if (!row.table.equals(call.query("table")) || row.key.compareTo(from) < 0) continue;
      if (until != null && row.key.compareTo(until) >= 0) continue;
      if (found.size() == limit) {
        hasMore = true;
        break;
      }
      found.add(row.json());
    }
    return new Object[] {200, "{\"rows\":[" + String.join(",", found) + "],\"has-more\":" + hasMore + end()};
  }

  private synchronized Object[] feed(Http.Message call) throws InterruptedException {
    long after = Long.parseLong(call.query("after"));
    long untilNanos = System.nanoTime() + Long.parseLong(call.query("wait-ms")) * 1_000_000;
    while (true) {
      List<String> found = new ArrayList<>();
      for (Row row : history) {
        if (row.version > after && row.table.equals(call.query("table"))) found.add(row.json());
      }
      long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || leftMillis <= 0) {
        return new Object[] {200, "{\"rows\":[" + String.join(",", found) + "]" + end()};
      }
      wait(leftMillis);
    }
  }

  private synchronized Object[] transact(Http.Message call) {
    String text = call.text();
    List<String> failed = new ArrayList<>();
    for (String entry : entries(text, "precondition")) {
      Row row = rows.get(field(entry, "table") + "\0" + field(entry, "key"));
      long expected = Long.parseLong(field(entry, "ver"));
      if ((row == null ? 0 : row.version) != expected && row != null) failed.add(row.json());
      if (row == null && expected != 0) failed.add("");
    }
    if (!failed.isEmpty()) {
      failed.removeIf(String::isEmpty);
      return new Object[] {412, "{\"rows\":[" + String.join(",", failed) + "]" + end()};
    }
    version++;
    for (String entry : entries(text, "put")) {
      change(new Row(field(entry, "table"), field(entry, "key"), version, field(entry, "value")));
    }
    for (String entry : entries(text, "remove")) {
      change(new Row(field(entry, "table"), field(entry, "key"), version, null));
    }
    return new Object[] {200, "{\"ok\":true" + end()};
  }

  private static List<String> entries(String text, String name) {
    int start = text.indexOf("\"" + name + "\":[");
    if (start < 0) return List.of();
    String list = text.substring(start, text.indexOf(']', start));
    List<String> entries = new ArrayList<>();
    Matcher matcher = ENTRY.matcher(list);
    while (matcher.find()) entries.add(matcher.group());
    return entries;
  }

  /** Returns a field of a flat JSON object; neither names nor values here contain escapes. */
  static String field(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(\"([^\"]*)\"|[0-9]+)").matcher(json);
    if (!matcher.find()) return null;
    return matcher.group(2) != null ? matcher.group(2) : matcher.group(1);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
