import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills in a template of settings: placeholders, and sections that are rendered for each entry of a table. */
final class Template {
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([a-z-]+)}}\\n?(.*?)\\{\\{/\\1}}\\n?", Pattern.DOTALL);
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z0-9.-]+)}}");

  private Template() {}

  /** Returns the text of [template]; throws an exception that names what it asks for and [values] and [tables] lack. */
  static String fill(
      String template, Map<String, String> values, Map<String, Map<String, String>> tables) {
    TreeSet<String> missing = new TreeSet<>();
    String flat = SECTION.matcher(template).replaceAll(found -> {
      Map<String, String> table = tables.get(found.group(1));
      if (table == null) missing.add(found.group(1));
      StringBuilder text = new StringBuilder();
      (table == null ? Map.<String, String>of() : table).forEach((key, value) ->
          text.append(found.group(2).replace("{{@}}", key).replace("{{.}}", value)));
      return Matcher.quoteReplacement(text.toString());
    });
    String text = PLACEHOLDER.matcher(flat).replaceAll(found -> {
      String value = values.get(found.group(1));
      if (value == null) missing.add(found.group(1));
      return Matcher.quoteReplacement(value == null ? "" : value);
    });
    if (!missing.isEmpty()) {
      throw new IllegalStateException("platform/entry.ini asks for unknown values: " + missing);
    }
    return text;
  }
}
