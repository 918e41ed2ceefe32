package cactusfold.bench.path

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import org.HdrHistogram.ConcurrentHistogram

/** Latencies and number of failures of one run. */
public data class LoadResult(public val micros: ConcurrentHistogram, public val failures: Int)

/** Open-loop load generator: sends a request at a fixed rate, independent of the responses. */
public class LoadClient(
    vertx: Vertx,
    private val port: Int,
    private val path: String,
    private val headers: Map<String, String>,
    private val body: String
) {
    private val client = vertx.createHttpClient(
        HttpClientOptions(),
        PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS)
    )

    /**
     * Sends [perSecond] requests per second for [seconds]. Latencies count from the scheduled send
     * time, so that delays of the client itself are included.
     */
    public suspend fun run(perSecond: Int, seconds: Int): LoadResult =
        runAtRate(perSecond.toDouble(), seconds)

    /** Same as [run], also for rates below one per second. */
    public suspend fun runAtRate(perSecond: Double, seconds: Int): LoadResult {
        val histogram = ConcurrentHistogram(HIGHEST_MICROS, DIGITS)
        val failures = AtomicInteger()
        val done = AtomicInteger()
        val total = (perSecond * seconds).toInt()
        val startNanos = System.nanoTime()
        val intervalNanos = (NANOS_PER_SECOND / perSecond).toLong()
        var sent = 0
        while (sent < total) {
            while (sent < total && startNanos + sent * intervalNanos <= System.nanoTime()) {
                sendOne(startNanos + sent * intervalNanos, histogram, failures, done)
                sent++
            }
            delay(1)
        }
        while (done.get() < total) delay(WAIT_MILLIS)
        return LoadResult(histogram, failures.get())
    }

    public fun close() {
        client.close()
    }

    private fun sendOne(
        dueNanos: Long,
        histogram: ConcurrentHistogram,
        failures: AtomicInteger,
        done: AtomicInteger
    ) {
        val options = RequestOptions().setMethod(HttpMethod.POST)
            .setHost("127.0.0.1").setPort(port).setURI(path)
        headers.forEach { (name, value) -> options.putHeader(name, value) }
        client.request(options)
            .compose { it.send(Buffer.buffer(body)) }
            .compose { response -> response.body().map { response.statusCode() } }
            .onComplete { result ->
                if (result.failed() || result.result() != OK) failures.incrementAndGet()
                val micros = (System.nanoTime() - dueNanos) / NANOS_PER_MICRO
                histogram.recordValue(micros.coerceIn(1, HIGHEST_MICROS))
                done.incrementAndGet()
            }
    }

    private companion object {
        const val MAX_CONNECTIONS = 512
        const val HIGHEST_MICROS = 60_000_000L
        const val DIGITS = 3
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MICRO = 1_000L
        const val WAIT_MILLIS = 10L
        const val OK = 200
    }
}
