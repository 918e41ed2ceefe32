package cactusfold.entry.upstream

import cactusfold.decisions.rate.UpstreamStart
import cactusfold.node.time.MonotonicClock
import cactusfold.ports.serving.ReportReply
import cactusfold.ports.serving.RunnerApi
import cactusfold.ports.serving.UpstreamEntry

/** Notes how long runners stay cold by their reports. */
public class ColdReports(
    private val api: RunnerApi,
    private val clock: MonotonicClock,
    private val cold: ColdUpstreams
) : RunnerApi by api {
    override suspend fun report(runner: UpstreamEntry): ReportReply {
        val sentAtMillis = clock.nowMillis()
        val reply = api.report(runner)
        val report = reply.reportOrNull ?: return reply
        val start = UpstreamStart(
            runner.id,
            report.startedAtEpochMillis ?: runner.startedAtEpochMillis
        )
        report.coldMillis?.let { cold.answered(start, it, sentAtMillis) }
        return reply
    }
}
