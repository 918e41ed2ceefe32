package cactusfold.entry.path

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class LogMetricsTest {
    // This JVM logs by the configuration of the tests, as a process does that lost its own.
    @Test
    fun `a process that logs by another configuration shows it on the metrics address`() {
        EntryFixture().use { fixture ->
            fixture.start()
            val uri = URI("http://127.0.0.1:${fixture.metrics}/metrics")
            val scrape = HttpClient.newHttpClient().send(
                HttpRequest.newBuilder(uri).build(),
                HttpResponse.BodyHandlers.ofString()
            ).body().lines().filter { it.startsWith("cactusfold_log_") }
            assertEquals(
                listOf(
                    "cactusfold_log_in_force 0.0",
                    "cactusfold_log_lines_dropped 0.0",
                    "cactusfold_log_lines_written_total 0.0",
                    "cactusfold_log_queue_dropped_total 0.0"
                ),
                scrape.sorted()
            )
        }
    }
}
