package cactusfold.entry.upstream

import cactusfold.ports.table.ChangeFeed
import cactusfold.ports.table.FeedResult

/** Changes of a store that never answers. */
object NoFeed : ChangeFeed {
    override suspend fun snapshot(table: String): FeedResult = FeedResult.Unavailable("none")

    override suspend fun changes(table: String, position: Long, waitMillis: Long): FeedResult =
        FeedResult.Unavailable("none")
}
