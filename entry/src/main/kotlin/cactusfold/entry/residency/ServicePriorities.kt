package cactusfold.entry.residency

import cactusfold.ports.serving.ServingConfig

/** Whether callers of the service named [service] have different priorities. */
internal fun ServingConfig.usesPriorities(service: String): Boolean {
    val ofRoutes = routes.filter { route -> route.services.any { it.service == service } }
        .mapTo(mutableSetOf()) { it.priority }
    if (ofRoutes.size > 1) return true
    return workspaces.any { it.priority != null && it.priority !in ofRoutes }
}
