package cactusfold.decisions.residency

/** An order to a runner to change which models or adapters it has loaded. */
public sealed interface RunnerOrder {
    public val model: String

    /** Whether the order frees memory. */
    public val isUnload: Boolean
        get() = when (this) {
            is Unload, is UnloadAdapter -> true
            is Load, is LoadAdapter -> false
        }

    /** Loads the model. */
    public data class Load(override val model: String) : RunnerOrder

    /** Unloads the model once its in-flight requests have ended. */
    public data class Unload(override val model: String) : RunnerOrder

    /** Loads an adapter of a model that is already loaded. */
    public data class LoadAdapter(override val model: String, public val adapter: String) :
        RunnerOrder

    /** Unloads an adapter. */
    public data class UnloadAdapter(override val model: String, public val adapter: String) :
        RunnerOrder
}
