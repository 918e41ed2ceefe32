package cactusfold.entry.fleet

import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Test

class SentReportsTest {
    @Test
    fun `the time of a recent report is known, of an unknown or very old one it is not`() {
        val reports = SentReports()
        val first = reports.next(nowMillis = 1_000)
        val second = reports.next(nowMillis = 1_400)
        assertEquals(1_000, reports.sentAtMillis(first))
        assertEquals(1_400, reports.sentAtMillis(second))
        assertNull(reports.sentAtMillis(second + 1))
        repeat(200) { reports.next(nowMillis = 2_000) }
        assertNull(reports.sentAtMillis(first))
    }
}
