package cactusfold.local

import cactusfold.node.config.Proposal
import cactusfold.node.config.SubmitResult
import cactusfold.settings.fleet.FleetConfigResult
import cactusfold.settings.fleet.FleetConfigValidator

/** Applies the configuration document [text] to this fleet; throws if it is not accepted. */
public suspend fun LocalFleet.applyDocument(text: String) {
    val document = when (val checked = FleetConfigValidator.check(text)) {
        is FleetConfigResult.Valid -> checked.document
        is FleetConfigResult.Invalid -> error(
            checked.problems.joinToString {
                it.describe("document")
            }
        )
    }
    val config = controllers.first().core.config
    val patch = config.document.patchTo(document)
    val proposal =
        Proposal(config.current.version, patch, "local", "", System.currentTimeMillis())
    val result = config.submit(proposal)
    check(result is SubmitResult.Accepted) { "configuration document was not accepted: $result" }
}
