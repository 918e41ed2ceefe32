import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stands in for a runner with models, or for a plain service if it has none. */
class Runner implements AutoCloseable {
  /** A request that the runner has begun to work on. */
  record Executed(String id, long atMillis, int bodyBytes, Http.Message request) {}

  /** An order that the runner was given. */
  record Order(long atMillis, String operation, String model, String holder, String fence, int status) {}

  final String id;
  final String service;
  final long born = System.currentTimeMillis();
  final Set<String> models = new TreeSet<>();
  final List<Executed> executed = new CopyOnWriteArrayList<>();
  final List<Order> orders = new CopyOnWriteArrayList<>();
  volatile long workMillis = 50;
  volatile long loadMillis = 600;
  volatile int events = 20;
  volatile long eventMillis = 50;
  volatile int slots = 48;
  protected String loading;
  protected long seq = 0;
  private final ServerSocket server;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  Runner(String id, String service, String... models) throws IOException {
    this.id = id;
    this.service = service;
    this.models.addAll(List.of(models));
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Run.daemon(() -> {
      while (true) {
        Socket socket = server.accept();
        Run.daemon(() -> serve(socket));
      }
    });
  }

  synchronized String row(String state) {
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
        + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
        + "\",\"warmup-ms\":0,\"stage\":\"unified\",\"models\":" + modelsJson() + ",\"seq\":1,\"born\":" + born + "}";
  }

  protected synchronized String modelsJson() {
    StringBuilder json = new StringBuilder("[");
    for (String model : models) {
      if (json.length() > 1) json.append(',');
      json.append("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
    }
    return json.append("]").toString();
  }

  protected synchronized String report() {
    return "{\"stage\":\"unified\",\"models\":" + modelsJson() + ",\"busy\":" + (loading != null)
        + ",\"seq\":" + seq + ",\"queued\":0,\"active\":0,\"kv-used\":0,\"kv-total\":90000,\"handles\":0,\"born\":" + born + "}";
  }

  private void serve(Socket socket) throws Exception {
    open.add(socket);
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Http.Message request = Http.read(in);
        if (request == null) return;
        handle(request, socket);
      }
    } finally {
      open.remove(socket);
    }
  }

  /** Ends the runner, whatever it is running. */
  void exit() throws IOException {
    server.close();
    for (Socket socket : open) socket.close();
  }

  protected void handle(Http.Message request, Socket socket) throws Exception {
    OutputStream out = socket.getOutputStream();
    String expected = request.header("cactusfold-expect-instance");
    if (expected != null && !expected.equals(id)) {
      Http.answer(out, 421, Map.of("Cactusfold-Instance-Id", id), new byte[0]);
    } else if (request.path().equals("/report")) {
      Http.answer(out, 200, Map.of("Content-Type", "application/json"),
          report().getBytes(StandardCharsets.UTF_8));
    } else if (request.path().equals("/order")) {
      Http.answer(out, order(request.text()), Map.of(), new byte[0]);
    } else {
      run(request, socket);
    }
  }

  protected synchronized int order(String json) {
    String operation = Store.field(json, "operation");
    String model = Store.field(json, "model");
    int status = statusOf(json, operation, model);
    orders.add(new Order(Run.millis(), operation, model, Store.field(json, "holder"),
        Store.field(json, "fence"), status));
    return status;
  }

  protected synchronized int statusOf(String json, String operation, String model) {
    String precondition = Store.field(json, "precondition");
    if (precondition != null && Long.parseLong(precondition) != seq) return 409;
    if (loading != null) return 409;
    if (operation.equals("loading") == models.contains(model)) return 200;
    seq++;
    if (operation.equals("unloading")) {
      models.remove(model);
      return 202;
    }
    loading = model;
    Run.daemon(() -> {
      Thread.sleep(loadMillis);
      loaded(model);
    });
    return 202;
  }

  private synchronized void loaded(String model) {
    models.add(model);
    loading = null;
  }

  protected Map<String, String> sealed(Http.Message request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Cactusfold-Request-Id", request.header("cactusfold-request-id"));
    headers.put("Cactusfold-Response-Seal", "seal-" + id);
    return headers;
  }

  protected void run(Http.Message request, Socket socket) throws Exception {
    String model = request.header("cactusfold-model");
    OutputStream out = socket.getOutputStream();
    if (model != null) {
      boolean isLoaded;
      synchronized (this) {
        isLoaded = models.contains(model);
      }
      if (!isLoaded) {
        Http.answer(out, 421, Map.of("Cactusfold-Instance-Id", id), new byte[0]);
        return;
      }
    }
    executed.add(new Executed(request.header("cactusfold-request-id"), Run.millis(),
        request.body.length, request));
    Thread.sleep(workMillis);
    if (model == null) {
      Http.answer(out, 200, sealed(request), "x".repeat(800).getBytes(StandardCharsets.UTF_8));
    } else {
      stream(request, out);
    }
  }

  protected void stream(Http.Message request, OutputStream out) throws Exception {
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
    sealed(request).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    String last = request.header("last-event-id");
    for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
      String event = "id: " + i + "\ndata: token " + i + "\n\n";
      out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
      out.flush();
      Thread.sleep(eventMillis);
    }
    out.write("0\r\n\r\n".getBytes());
    out.flush();
  }

  int port() {
    return server.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
