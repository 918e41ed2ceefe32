/** The operator's configuration of a small deployment of the site ijwi-hire. */
final class Config {
  private Config() {}

  static final String HOST = "ficu95.example";
  static final String KEY = "i9n73hh2b9wu3fexd9dn";

  /**
   * A service `engine` with models, and a service `desk`. The time limits are those of the site
   * ijwi-hire; the limits of callers are those of the users' example.
   */
  static String json(int version, String... models) {
    return json(version, 72_700, 0, models);
  }

  /** As above, with models of [megabytes] that have [adapters] each. */
  static String json(int version, int megabytes, int adapters, String... models) {
    StringBuilder specs = new StringBuilder();
    for (String model : models) {
      if (specs.length() > 0) specs.append(',');
      specs.append("{\"name\":\"" + model + "\",\"weights-mb\":" + megabytes + ".0,\"load-s\":6.0,\"adapters\":"
          + adapters + ","
          + "\"adapter-mb\":66.0,\"warm-s\":1.3,\"disk-s\":1.7}");
    }
    return "{\"version\":" + version + ",\"routes\":["
        + route("r-draft", "/draft/", "streaming", "engine", 15000, 1000, true, 2) + ","
        + route("r-once", "/once/", "streaming", "engine", 20000, 4000, false, 1) + ","
        + route("r-book", "/book/", "unsafe", "desk", 1500, 193, false, 1) + ","
        + route("r-look", "/look/", "safe", "desk", 1500, 193, false, 2)
        + "],\"services\":[{\"name\":\"engine\",\"health-path\":\"/health\",\"max-conns\":600,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,\"kv-capacity\":118524,"
        + "\"weights-mb\":200000.0,\"adapter-slots\":8,\"loads-per-s\":7.5,\"models\":[" + specs + "]}},"
        + "{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":200,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
        + "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"" + KEY + "\"],\"priority\":1,"
        + "\"unit\":\"token_count\",\"plain-tokens\":200,\"rate-per-s\":0,\"burst\":0}]}";
  }

  private static String route(String name, String prefix, String kind, String service,
      int timeoutMillis, int targetMillis, boolean isResumable, int attempts) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + timeoutMillis + ",\"target-latency-ms\":"
        + targetMillis + ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":" + attempts
        + ",\"anonymous\":false,\"sticky\":false,\"resumable\":" + isResumable
        + ",\"gap-target-ms\":300}";
  }
}
