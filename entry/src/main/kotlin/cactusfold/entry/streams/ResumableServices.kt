package cactusfold.entry.streams

import cactusfold.ports.serving.Repeatability
import cactusfold.ports.serving.ServingConfig

/**
 * The services with streams that may be resumed.
 *
 * @property keptMillis how long callers may return to a stream, counted from its first event.
 */
public data class ResumableServices(public val names: Set<String>, public val keptMillis: Long) {
    public companion object {
        /** No service, and no bound on the return of callers, while no configuration is known. */
        public val NONE: ResumableServices = ResumableServices(emptySet(), Long.MAX_VALUE / 4)

        /** A caller may wait longer than the operator lets one of its requests take. */
        private const val TIMEOUT_FACTOR = 2

        /** Returns the services of [config]. */
        public fun of(config: ServingConfig): ResumableServices {
            val routes = config.routes.filter { it.repeatability == Repeatability.STREAM_RESUMABLE }
            val longestMillis = routes.maxOfOrNull { it.timeoutMillis } ?: return NONE
            return ResumableServices(
                routes.flatMap { it.services }.mapTo(mutableSetOf()) { it.service },
                longestMillis * TIMEOUT_FACTOR
            )
        }
    }
}
