package cactusfold.decisions.residency

import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Requests that continue streams, which only runners of one software version can serve. */
class VersionDemandTest : ResidencyFixture() {
    private val other = runner("r1", held("c" to emptySet())).copy(softwareVersion = "v2")

    private fun old(id: String, disk: Set<String> = emptySet()): RunnerState =
        runner(id, held(), disk).copy(softwareVersion = "v1")

    private fun boundDemand(deadlineInMillis: Long = 30_000): ModelDemand =
        demand("c", deadlineInMillis = deadlineInMillis).copy(softwareVersion = "v1")

    private fun plan(runners: List<RunnerState>, vararg demands: ModelDemand): ResidencyPlan =
        planner.plan(view(runners, demands.toList()), now)

    @Nested
    inner class Loads {
        @Test
        fun `a model is loaded at the version although another one has it`() {
            val plan = plan(listOf(other, old("r2")), boundDemand())
            assertEquals(listOf("r2" to "c"), loads(plan).map { it.runner to it.model })
        }

        @Test
        fun `nothing is loaded if a runner of the version has the model`() {
            val serving = runner("r2", held("c" to emptySet())).copy(softwareVersion = "v1")
            assertEquals(emptyList(), plan(listOf(other, serving), boundDemand()).steps)
        }

        @Test
        fun `a model that a runner of the version loads is not loaded twice`() {
            val loading =
                old("r2").copy(isBusy = true, loading = "c", loadedAtMillis = now + 700)
            val plan = plan(listOf(other, loading, old("r3")), boundDemand())
            assertEquals(emptyList(), plan.steps)
            assertEquals(listOf(VersionForecast("c", "v1", now + 700)), plan.atVersions)
        }

        @Test
        fun `other requests for the model are not delayed by a load at the version`() {
            val plan = plan(listOf(other, old("r2")), demand("c"), boundDemand())
            assertEquals(emptyMap(), plan.readyAtMillis.filterValues { it < now })
            assertEquals(1, loads(plan).size)
        }
    }

    @Nested
    inner class Forecasts {
        @Test
        fun `callers are told when the model is ready at their version`() {
            val plan = plan(listOf(other, old("r2", disk = setOf("c"))), boundDemand())
            assertEquals(listOf(VersionForecast("c", "v1", now + 2_300)), plan.atVersions)
        }

        @Test
        fun `a load that is too late for the caller starts, since the caller returns`() {
            val plan = plan(listOf(other, old("r2")), boundDemand(deadlineInMillis = 4_000))
            assertEquals(1, loads(plan).size)
            assertEquals(listOf(VersionForecast("c", "v1", now + 9_300)), plan.atVersions)
        }

        @Test
        fun `a version without a free runner is reported`() {
            val plan = plan(listOf(other, old("r2").copy(isBusy = true)), boundDemand())
            assertEquals(listOf(Obstacle.RUNNERS_BUSY), plan.blocked.map { it.obstacle })
        }
    }
}
