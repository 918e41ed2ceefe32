package cactusfold.decisions.residency

import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

/** Requests that only runners of some regions can serve. */
class HomeDemandTest : ResidencyFixture() {
    private val east = runner("r1", held(), disk = setOf("c")).copy(region = "east")
    private val west = runner("r2", held()).copy(region = "west")

    private fun atHome(region: String, deadlineInMillis: Long = 30_000) =
        demand("c", deadlineInMillis = deadlineInMillis).copy(homeRegions = setOf(region))

    private fun plan(runners: List<RunnerState>, vararg demands: ModelDemand): ResidencyPlan =
        planner.plan(view(runners, demands.toList()), now)

    // Guards against a load that is fast but that the waiting requests cannot use.
    @Test
    fun `a model is loaded in a home although a runner elsewhere has it on its disk`() {
        val plan = plan(listOf(east, west), atHome("west"))
        assertEquals(listOf("r2"), loads(plan).map { it.runner })
        val forecast = VersionForecast("c", null, now + 9_300, setOf("west"))
        assertEquals(listOf(forecast), plan.atVersions)
        assertEquals(emptyMap(), plan.readyAtMillis)
    }

    @Test
    fun `a load elsewhere does not count as one in progress`() {
        val loading = east.copy(isBusy = true, loading = "c", loadedAtMillis = now + 700)
        assertEquals(
            listOf("r2"),
            loads(plan(listOf(loading, west), atHome("west"))).map {
                it.runner
            }
        )
    }

    @Test
    fun `one load serves requests with and without homes`() {
        val plan = plan(listOf(east, west), demand("c"), atHome("east"))
        assertEquals(listOf("r1"), loads(plan).map { it.runner })
        assertEquals(mapOf("c" to now + 2_300), plan.readyAtMillis)
        assertEquals(emptyList(), plan.tooLate)
    }

    @Test
    fun `requests are told that a load in their homes comes too late`() {
        val plan = plan(listOf(east, west), atHome("west", deadlineInMillis = 5_000))
        assertEquals(listOf(true), plan.atVersions.map { it.isTooLate })
    }
}
