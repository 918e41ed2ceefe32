package cactusfold.entry.rate

import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.UpstreamStart
import kotlin.test.assertEquals
import org.junit.jupiter.api.Test

class MemberTokensTest {
    private var nowMillis = 100_000L
    private val subject = RateSubject.Upstream(UpstreamStart("i-1", 1))
    private val limit = RateLimit.ofRequests(1.0)

    /** Returns how often a member without contact may send in [forMillis]. */
    private fun sendsWithoutContact(place: FleetPlace, forMillis: Long): Int {
        val tokens = MemberTokens({ nowMillis }) { place }
        tokens.registered(wasRegistered = true)
        return (0 until forMillis step 10).count {
            nowMillis += 10
            tokens.trySpend(subject, limit, 1)
        }
    }

    // Guards against a turn that is used twice if its first request comes right as it begins.
    @Test
    fun `a member that knows its position sends once in each round of turns`() {
        assertEquals(2, sendsWithoutContact(FleetPlace(14, 3), forMillis = 28_000))
    }

    // Guards against members that all take the same turn, since none knows its own.
    @Test
    fun `a member that does not know its position has no turn`() {
        assertEquals(0, sendsWithoutContact(FleetPlace(14, null), forMillis = 28_000))
    }
}
