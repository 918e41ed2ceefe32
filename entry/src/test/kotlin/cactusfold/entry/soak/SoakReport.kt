package cactusfold.entry.soak

/** What a run must keep. */
enum class Rule {
    ANSWERED,
    OWN_ANSWER,
    TRUE_ORDER,
    TRUE_REFUSAL,
    COMPLETE,
    TIMELY_EXIT,
    SURVIVES_HANGUP,
    CLEAN_OUTPUT,
    WITHIN_LIMIT,
    NOT_AFTER_LEAVING
}

/** A broken rule; [kind] groups equal ones. */
class Violation(val rule: Rule, val kind: String, val details: String)

/**
 * Result of one run; [ends] counts how requests ended, and [copies] the answers that were written
 * once more.
 */
class SoakReport(
    val plan: SoakPlan,
    val violations: List<Violation>,
    val ends: Map<String, Int>,
    val copies: Int
) {
    fun describe(rule: Rule): String? = violations.filter { it.rule == rule }
        .takeIf { it.isNotEmpty() }
        ?.joinToString("\n", "seed ${plan.seed}, $plan:\n") { "${it.kind}: ${it.details}" }
}
