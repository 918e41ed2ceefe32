package cactusfold.entry.upstream

/**
 * What the place of an upstream means for the requests that it may get.
 *
 * @param regionsByZone the region of each availability zone; another zone has none.
 */
public class UpstreamEligibility(private val regionsByZone: Map<String, String> = emptyMap()) {
    /** The zones to which nothing may be sent. */
    public var evacuatedZones: Set<String> = emptySet()

    /** Whether nothing may be sent to the upstreams of [zone]. */
    public fun isEvacuated(zone: String): Boolean = zone in evacuatedZones

    /** Returns the region of [zone]; null if it has none, and so is not a home of any request. */
    public fun regionOf(zone: String): String? = regionsByZone[zone]
}
