package cactusfold.entry.rate

import cactusfold.decisions.rate.RateLimit
import cactusfold.decisions.rate.SpendOutcome
import cactusfold.decisions.rate.TokenGrantSpender
import cactusfold.decisions.rate.TokenGrantState
import cactusfold.node.time.MonotonicClock

/**
 * This process's place among the members of the fleet.
 *
 * @property memberCount null while the members are not known.
 * @property position of this process among the members, from zero; null while it is not known.
 */
public data class FleetPlace(public val memberCount: Int?, public val position: Int? = null)

/**
 * The tokens that this process may spend without asking the coordinator: those granted and not
 * spent yet, and its reserve of each rate while the coordinator cannot be reached.
 */
internal class MemberTokens(
    private val clock: MonotonicClock,
    private val place: () -> FleetPlace
) {
    private val states = HashMap<RateSubject, TokenGrantState>()
    private var reservesFromMillis = clock.nowMillis() + REGISTRATION_DELAY_MILLIS

    /** [REGISTRATION_DELAY_MILLIS] takes the place of the wait for a fresh registry. */
    private var settings = sharedGrantSettings.copy(registryFreshMillis = 0)
    private var position: Int? = null
    private var spender = TokenGrantSpender(settings)
    private var isRegistered = false
    private var heardAtMillis: Long? = null

    /**
     * Records that this process is registered, so that the coordinator sets a reserve aside for it:
     * at once if its VM [wasRegistered] before, else once the members have been read again.
     */
    fun registered(wasRegistered: Boolean) {
        isRegistered = true
        val nowMillis = clock.nowMillis()
        reservesFromMillis = if (wasRegistered) nowMillis else nowMillis + REGISTRATION_DELAY_MILLIS
        states.clear()
    }

    /** Records contact with the coordinator, which suspends the use of the reserves. */
    fun heard() {
        val nowMillis = clock.nowMillis()
        heardAtMillis = nowMillis
        states.replaceAll { _, state -> spender.contacted(state, nowMillis) }
    }

    /** Records an answer of the coordinator about [subject]. */
    fun heard(subject: RateSubject) {
        val state = states[subject] ?: return
        states[subject] = spender.contacted(state, clock.nowMillis())
    }

    /** Keeps [tokens] that were asked for at [askedAtMillis] and not used, for later requests. */
    fun keep(subject: RateSubject, tokens: Long, askedAtMillis: Long) {
        val state = states[subject] ?: return
        states[subject] = spender.kept(state, tokens, askedAtMillis, clock.nowMillis())
    }

    /** Returns when the kept tokens of [subject] were asked for; null if there are none. */
    fun keptSinceMillis(subject: RateSubject): Long? = states[subject]
        ?.takeIf { it.unspentTokens > 0 && clock.nowMillis() < it.grantExpiresAtMillis }
        ?.let { it.grantExpiresAtMillis - settings.grantValidMillis }

    /** Spends [tokens] of [subject]; returns false if this process has too few. */
    fun trySpend(subject: RateSubject, limit: RateLimit, tokens: Long): Boolean {
        val mayUseReserve = isRegistered && applyPlace()
        val before = states[subject]?.let { if (it.limit == limit) it else it.copy(limit = limit) }
            ?: start(limit)
        val step = spender.spend(before, tokens, clock.nowMillis(), mayUseReserve)
        states[subject] = step.state
        return when (step.outcome) {
            SpendOutcome.Admitted -> true
            is SpendOutcome.GrantNeeded -> false
        }
    }

    /** Returns the state of a rate that is new here; contact has suspended its reserve as well. */
    private fun start(limit: RateLimit): TokenGrantState {
        val state = spender.start(limit, reservesFromMillis)
        val contacted = heardAtMillis?.let { spender.contacted(state, it) } ?: return state
        return if (contacted.reserveFromMillis > state.reserveFromMillis) contacted else state
    }

    /** Forgets subjects whose rate has ended. */
    fun retain(isLimited: (RateSubject) -> Boolean) {
        states.keys.retainAll(isLimited)
    }

    /** Sizes the reserves by the number of members; returns whether it is known. */
    private fun applyPlace(): Boolean {
        val current = place()
        val slots = current.memberCount?.coerceAtLeast(MIN_ROUTER_SLOTS) ?: return false
        if (slots == settings.routerSlots && current.position == position) return true
        settings = settings.copy(routerSlots = slots)
        position = current.position
        spender = TokenGrantSpender(settings, position)
        return true
    }

    companion object {
        /** Minimum number of shares of a rate, at members and at the coordinator. */
        const val MIN_ROUTER_SLOTS = 4

        /**
         * Time after the registration of this process by which every coordinator's list of members
         * includes it.
         */
        private const val REGISTRATION_DELAY_MILLIS = 8_000L
    }
}
