package cactusfold.decisions.rate

/**
 * One start of an upstream. A limit belongs to it and not to later starts under the same [id].
 *
 * @property startedAtEpochMillis null if the upstream does not state when it started.
 */
public data class UpstreamStart(public val id: String, public val startedAtEpochMillis: Long?)

/**
 * What a process knows of the limit that one start of an upstream states.
 *
 * @property requestsPerSecond limit of all VMs together; null after it has ended.
 * @property observedAtMillis when an answer last stated it, at this or another process.
 * @property learnedAtMillis when this process learned it.
 */
public data class UpstreamLimit(
    public val requestsPerSecond: Double?,
    public val observedAtMillis: Long,
    public val learnedAtMillis: Long
) {
    public companion object {
        /**
         * Returns what is known after an answer to a request that was sent at [sentAtMillis];
         * [stated] is null if the answer states no limit. Returns [known] if nothing changes.
         *
         * Answers arrive out of order, so a limit ends or rises only by the answer to a request
         * that was sent after the limit was learned. A lower limit applies at once.
         */
        public fun answered(
            known: UpstreamLimit?,
            stated: Double?,
            sentAtMillis: Long,
            nowMillis: Long
        ): UpstreamLimit? {
            val current = known?.requestsPerSecond
            if (stated == current) return known?.copy(observedAtMillis = nowMillis)
            val isLower = stated != null && (current == null || stated < current)
            if (!isLower && known != null && sentAtMillis <= known.learnedAtMillis) return known
            return UpstreamLimit(stated, nowMillis, nowMillis)
        }

        /**
         * Returns what is known after another process reported a limit, or its end, that it had
         * observed at [observedAtMillis] on this process's clock. Returns [known] if that is newer.
         */
        public fun heard(
            known: UpstreamLimit?,
            reported: Double?,
            observedAtMillis: Long,
            nowMillis: Long
        ): UpstreamLimit = when {
            known == null -> UpstreamLimit(reported, observedAtMillis, nowMillis)
            observedAtMillis <= known.observedAtMillis -> known
            known.requestsPerSecond == reported -> known.copy(observedAtMillis = observedAtMillis)
            else -> UpstreamLimit(reported, observedAtMillis, nowMillis)
        }
    }
}
