import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to an entry process. */
final class Client implements AutoCloseable {
  private final Socket socket = new Socket();
  private final BufferedInputStream in;

  Client(Entry entry) throws IOException {
    socket.connect(new InetSocketAddress(entry.address, entry.callersPort), 1_000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request with a body of [bodyBytes]; [headers] are complete lines. */
  void send(String method, String path, String id, long deadlineMillis, byte[] body, String... headers)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + Config.HOST
        + "\r\nCactusfold-Request-Id: " + id + "\r\nCactusfold-Deadline-Ms: " + deadlineMillis
        + "\r\nCactusfold-Credential: " + Config.KEY + "\r\n");
    for (String header : headers) head.append(header).append("\r\n");
    if (body.length > 0) head.append("Content-Length: " + body.length + "\r\n");
    head.append("\r\n");
    socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(body);
    socket.getOutputStream().flush();
  }

  /** Returns the answer; null if the connection was closed before it began. */
  Http.Message receive(long limitMillis) throws IOException {
    socket.setSoTimeout((int) limitMillis);
    return Http.read(in);
  }

  /** Sends a request and returns its outcome as text. */
  static String call(Entry entry, String method, String path, String id, long deadlineMillis,
      byte[] body, String... headers) {
    try (Client client = new Client(entry)) {
      client.send(method, path, id, deadlineMillis, body, headers);
      Http.Message answer = client.receive(deadlineMillis + 8_000);
      if (answer == null) return "closed without an answer";
      String seal = answer.header("cactusfold-response-seal");
      return answer.status() + (seal == null ? " " + answer.text().trim() : " sealed")
          + " " + answer.body.length + " bytes";
    } catch (IOException e) {
      return "failed: " + e;
    }
  }

  Socket socket() {
    return socket;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
