package cactusfold.entry.passing

import cactusfold.entry.EntryBounds
import cactusfold.entry.EntryProcess
import cactusfold.entry.EntrySettings
import cactusfold.entry.path.EntryFixture.Companion.eventually
import cactusfold.entry.path.FreePorts
import cactusfold.entry.path.PlatformFixture
import cactusfold.entry.rate.RateTolerance
import cactusfold.node.time.MonotonicClock
import cactusfold.platform.standin.CallerStandin
import cactusfold.protocol.entry.StoredMember
import cactusfold.settings.schema.HostPort
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.runBlocking

/** Entry processes on one platform, of which each reaches all upstreams or none. */
class PassingFixture : AutoCloseable {
    val platform = PlatformFixture()
    val members = mutableListOf<Member>()

    /** One entry process; [isCut] is whether it counts as cut off from all upstreams. */
    inner class Member(val vm: String, zone: String) {
        private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
        private val ready = FreePorts.next()
        val callersPort = FreePorts.next()
        val passingPort = FreePorts.next()
        private val metricsPort = FreePorts.next()
        val caller = CallerStandin(callersPort)

        @Volatile
        var isCut = false
        private val process = EntryProcess(
            EntrySettings(
                vm, "127.0.0.1", zone, FreePorts.next(), metricsPort, passingPort,
                HostPort("127.0.0.1", callersPort), HostPort("127.0.0.1", ready),
                HostPort("127.0.0.1", platform.store.port),
                EntryBounds(
                    8_000,
                    5_000,
                    500,
                    0.2,
                    10_000,
                    100.0,
                    RateTolerance(8_000, 0.0, 0.0),
                    5_000
                )
            ),
            vertx,
            vertx.orCreateContext.dispatcher(),
            MonotonicClock.SYSTEM,
            vm,
            1_000,
            isServiceCut = { isCut }
        )

        fun start() {
            process.listen()
            runBlocking { process.start() }
            eventually("not ready") {
                caller.readyStatus(ready) == 200 && process.isMemberCountKnown
            }
        }

        /** Stops the process as a SIGTERM does that was sent [signaledAgoMillis] before. */
        fun stop(signaledAgoMillis: Long = 0): Unit =
            runBlocking(vertx.orCreateContext.dispatcher()) {
                process.stop(MonotonicClock.SYSTEM.nowMillis() - signaledAgoMillis)
            }

        fun metrics(): List<String> = HttpClient.newHttpClient().send(
            HttpRequest.newBuilder(URI("http://127.0.0.1:$metricsPort/metrics")).build(),
            HttpResponse.BodyHandlers.ofString()
        ).body().lines()

        fun close() {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS)
        }
    }

    /** Starts an entry process; the first call configures the platform before. */
    fun member(vm: String, zone: String = "z1", ratePerSecond: Int = 0): Member {
        if (members.isEmpty()) {
            platform.operator.configure(1, listOf("key-1"), ratePerSecond)
        }
        return Member(vm, zone).also {
            members += it
            it.start()
        }
    }

    /** Registers a member that takes passed-on requests at [port]. */
    fun register(vm: String, port: Int, zone: String = "z1"): Unit = platform.store.put(
        "members",
        vm,
        StoredMember.newBuilder().setVm(vm).setBoot("b").setAddress("127.0.0.1:1").setZone(zone)
            .setPassingAddress("127.0.0.1:$port").build().toByteArray()
    )

    override fun close() {
        members.forEach { it.close() }
        platform.close()
    }
}
