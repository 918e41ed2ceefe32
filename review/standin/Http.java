import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The part of HTTP/1.1 that the stand-ins speak. */
final class Http {
  private Http() {}

  /** A request or response. Header names are in lower case. */
  static final class Message {
    String startLine;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.get(name.toLowerCase());
    }

    String method() {
      return startLine.split(" ")[0];
    }

    String target() {
      return startLine.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    String query(String name) {
      String[] parts = target().split("\\?", 2);
      if (parts.length < 2) return null;
      for (String pair : parts[1].split("&")) {
        String[] sides = pair.split("=", 2);
        if (sides[0].equals(name)) {
          return java.net.URLDecoder.decode(sides[1], StandardCharsets.UTF_8);
        }
      }
      return null;
    }

    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Returns the start line and headers, or null at the end of the connection. */
  static Message readHead(InputStream in) throws IOException {
    String line = readLine(in);
    while (line != null && line.isEmpty()) line = readLine(in);
    if (line == null) return null;
    Message message = new Message();
    message.startLine = line;
    while (true) {
      line = readLine(in);
      if (line == null) throw new IOException("the connection ended inside a head");
      if (line.isEmpty()) return message;
      int colon = line.indexOf(':');
      if (colon < 0) throw new IOException("not a header: " + line);
      message.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
  }

  /** Reads the body that the headers announce. */
  static void readBody(Message message, InputStream in) throws IOException {
    if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) throw new IOException("the connection ended inside a body");
        int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
        if (bytes == 0) break;
        body.write(readBytes(in, bytes));
        readLine(in);
      }
      while (true) {
        String trailer = readLine(in);
        if (trailer == null || trailer.isEmpty()) break;
      }
      message.body = body.toByteArray();
    } else if (message.header("content-length") != null) {
      message.body = readBytes(in, Integer.parseInt(message.header("content-length")));
    }
  }

  static Message read(InputStream in) throws IOException {
    Message message = readHead(in);
    if (message != null) readBody(message, in);
    return message;
  }

  static byte[] readBytes(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) throw new IOException("the connection ended inside a body");
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (line.size() == 0) return null;
        throw new IOException("the connection ended inside a line");
      }
      if (next == '\n') break;
      if (next != '\r') line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Writes an answer with a length. */
  static void answer(OutputStream out, int status, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.write(body);
    out.write(all.toByteArray());
    out.flush();
  }
}
