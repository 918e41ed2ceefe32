package cactusfold.entry.residency

import cactusfold.protocol.entry.Demand

/**
 * What requests have in common that one load serves; null stands for no adapter, any version, an
 * empty set for any region.
 */
internal data class DemandKey(
    val model: String,
    val adapter: String?,
    val softwareVersion: String?,
    val homeRegions: Set<String> = emptySet()
)

/** What the requests of this demand have in common. */
internal val Demand.key: DemandKey
    get() = DemandKey(
        model,
        adapter.ifEmpty { null },
        softwareVersion.ifEmpty { null },
        homeRegionsList.toSet()
    )

/** What this need has in common with those that the same load serves. */
internal val ModelNeed.key: DemandKey
    get() = DemandKey(model, adapter, softwareVersion, homes.regions.orEmpty())
