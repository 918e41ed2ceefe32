package cactusfold.decisions.places

/**
 * The regions whose upstreams may get a request.
 *
 * @property regions null if all upstreams may, also those in a zone of no region.
 */
public data class HomeRegions(public val regions: Set<String>?) {
    /** Whether an upstream in [region] may get the request; null stands for no region. */
    public fun accepts(region: String?): Boolean = regions == null || region in regions

    public companion object {
        /** Any upstream. */
        public val ANY: HomeRegions = HomeRegions(null)

        /**
         * Returns the homes of a request by those of its [route] and [workspace], each empty if it
         * has none. Both bind, so regions that only one of them names are not among them.
         */
        public fun of(route: Set<String>, workspace: Set<String>): HomeRegions = when {
            route.isEmpty() && workspace.isEmpty() -> ANY
            route.isEmpty() -> HomeRegions(workspace)
            workspace.isEmpty() -> HomeRegions(route)
            else -> HomeRegions(route intersect workspace)
        }
    }
}
