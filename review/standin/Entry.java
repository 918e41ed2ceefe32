import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A VM with an entry process, started with the command and the template of the deploy file. */
final class Entry implements AutoCloseable {
  final String name;
  final String address;
  final int callersPort;
  final int readyPort;
  private static final int INNER_PORTS = 4;
  private static final int ATTEMPTS = 50;
  private static final int LAST_PORT = 65_535;
  private final Path settings;
  private final Path log;
  private final List<String> command = new ArrayList<>();
  private Process process;

  /** Number of times that the process was started. */
  int starts = 0;

  Entry(Path folder, String name, String address, String zone, int storePort) throws IOException {
    this.name = name;
    this.address = address;
    callersPort = freePort(address);
    readyPort = freePort(address);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    settings = folder.resolve(name + ".ini");
    log = folder.resolve(name + ".log");
    int firstPort = freePorts(address, INNER_PORTS);
    Map<String, String> values = new HashMap<>();
    values.put("node", name);
    values.put("ip", address);
    values.put("zone", zone);
    values.put("limits.cpu-share", "0.51");
    values.put("limits.cores", "1");
    values.put("limits.max-fds", "2118");
    values.put("port-range.0", "" + firstPort);
    values.put("port-range.1", "" + (firstPort + INNER_PORTS - 1));
    values.put("listen.front", address + ":" + callersPort);
    values.put("listen.ready", address + ":" + readyPort);
    values.put("platform.address", "127.0.0.1:" + storePort);
    values.put("bounds.grace-s", "8");
    values.put("bounds.revoke-ms", "5000");
    values.put("bounds.lease-ms", "3000");
    values.put("bounds.retry-budget-ratio", "0.2");
    values.put("bounds.budget-window-s", "10");
    values.put("bounds.budget-slack", "108");
    values.put("bounds.quota-window-s", "8");
    values.put("bounds.quota-overage", "0.1");
    values.put("bounds.quota-slack", "11000");
    values.put("bounds.ceiling-window-s", "5");
    // Bounds that the deployments of the cases do not have.
    values.put("bounds.cold-overage", "");
    values.put("bounds.cold-slack", "");
    values.put("bounds.evacuate-ms", "");
    String template = Files.readString(Path.of("platform/entry.ini"));
    Files.writeString(settings, Template.fill(template, values, Map.of("zones", Map.of(zone, "r"))));
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (!line.startsWith("run = ")) continue;
      String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      for (String word : run.split(" ")) {
        command.add(switch (word) {
          case "/etc/cactusfold/settings.toml" -> settings.toString();
          // Another build than that of the deploy file, which has no archive of classes.
          case "target/entry/entry.jar" -> System.getProperty("review.classpath", word);
          default -> word;
        });
      }
    }
  }

  /** Returns the first of [count] free ports in a row. */
  private static int freePorts(String address, int count) throws IOException {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      int first = freePort(address);
      if (first + count <= LAST_PORT && areFree(address, first, count)) return first;
    }
    throw new IOException("no " + count + " free ports in a row at " + address);
  }

  private static boolean areFree(String address, int first, int count) {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int port = first; port < first + count; port++) {
        sockets.add(new ServerSocket(port, 1, InetAddress.getByName(address)));
      }
      return true;
    } catch (IOException e) {
      return false;
    } finally {
      for (ServerSocket socket : sockets) release(socket);
    }
  }

  private static void release(ServerSocket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static int freePort(String address) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
      return socket.getLocalPort();
    }
  }

  void start() throws IOException {
    starts++;
    process = new ProcessBuilder(command).redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  /** Sends the signal, such as HUP, TERM, KILL, STOP or CONT. */
  void signal(String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
  }

  /** Waits until the process has ended. */
  void awaitExit() throws InterruptedException {
    process.waitFor();
  }

  /** Asks whether the process is ready, as the platform does. */
  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new java.net.InetSocketAddress(address, readyPort), 1_000);
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
      return Http.readHead(socket.getInputStream()).status() == 200;
    } catch (IOException | RuntimeException e) {
      return false;
    }
  }

  boolean awaitReady(long limitMillis) throws InterruptedException {
    long until = Run.millis() + limitMillis;
    while (Run.millis() < until) {
      if (isReady()) return true;
      Thread.sleep(50);
    }
    return false;
  }

  String output() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  @Override
  public void close() {
    if (process == null) return;
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
