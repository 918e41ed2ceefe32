package cactusfold.entry.callers

/** What a server does with requests, from its start to its end. */
public enum class ServingPhase {
    OPEN,

    /** New requests are refused because they might not finish before the process stops. */
    REFUSING,

    /** The requests that are still in progress are ended, each with an answer. */
    ENDING
}
