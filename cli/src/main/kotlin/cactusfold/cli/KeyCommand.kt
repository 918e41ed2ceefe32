package cactusfold.cli

import cactusfold.node.launch.ExitCode
import cactusfold.settings.fleet.CallerKey
import cactusfold.settings.fleet.FleetConfig
import cactusfold.settings.fleet.FleetConfigResult
import cactusfold.settings.fleet.FleetConfigValidator
import com.google.common.hash.Hashing
import com.google.common.io.BaseEncoding
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.security.SecureRandom
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand

/** Commands that manage callers' API keys. */
@Command(name = "key", description = ["Issues, withdraws and lists callers' API keys."])
internal class KeyCommand {
    @ParentCommand
    lateinit var parent: CactusfoldCommand

    @Command(description = ["Issues a key and prints its secret, which is not stored."])
    fun issue(
        @Parameters(paramLabel = "ID", description = ["Name of the key."]) id: String,
        @Option(names = ["--workspace"], required = true) workspace: String
    ): Int {
        val existing = when (val read = keys()) {
            is KeysRead.Failed -> return read.exitCode
            is KeysRead.Found -> read.keys
        }
        if (existing.any { it.id == id }) {
            System.err.println("key $id already exists; withdraw it first or choose another name")
            return ExitCode.DATA
        }
        val secret = newSecret()
        val digest = Hashing.sha256().hashString(secret, Charsets.UTF_8).toString()
        val section = sectionText("key $id", mapOf("workspace" to workspace, "sha256" to digest))
        val patch = JsonObject().put("upserts", section)
        return submit(patch, "issue key $id") {
            println("key $id for workspace $workspace; the secret is shown only once:")
            println(secret)
        }
    }

    @Command(description = ["Withdraws a key; all processes reject it within seconds."])
    fun withdraw(@Parameters(paramLabel = "ID") id: String): Int {
        val patch = JsonObject().put("removals", JsonArray().add("key $id"))
        return submit(patch, "withdraw key $id") { printVersion(it) }
    }

    @Command(description = ["Lists the keys, without secrets, which are not stored."])
    fun list(): Int = when (val read = keys()) {
        is KeysRead.Failed -> read.exitCode
        is KeysRead.Found -> {
            read.keys.sortedBy { it.id }.forEach {
                println(
                    "${it.id}  workspace=${it.workspace}  sha256=${it.sha256.take(DIGEST_CHARS)}…"
                )
            }
            ExitCode.OK
        }
    }

    private sealed interface KeysRead {
        class Found(val keys: Collection<CallerKey>) : KeysRead

        class Failed(val exitCode: Int) : KeysRead
    }

    private fun keys(): KeysRead {
        var keys: Collection<CallerKey>? = null
        val code = parent.client().get("/v1/config").exitCode("") { body ->
            val checked = FleetConfigValidator.check(body.toString())
            if (checked is FleetConfigResult.Valid) {
                keys = FleetConfig.of(0, checked.document).keysByDigest.values
            }
        }
        return keys?.let { KeysRead.Found(it) }
            ?: KeysRead.Failed(if (code == ExitCode.OK) ExitCode.DATA else code)
    }

    private fun submit(patch: JsonObject, comment: String, onOk: (JsonObject) -> Unit): Int {
        val headers = mapOf("X-Author" to author(), "X-Comment" to comment)
        val answer = parent.client().post("/v1/config/patch", patch.toBuffer().bytes, headers)
        return answer.exitCode("change") { onOk(it.toJsonObject()) }
    }

    private fun newSecret(): String {
        val bytes = ByteArray(SECRET_BYTES).also { SecureRandom().nextBytes(it) }
        return "cf-" + BaseEncoding.base64Url().omitPadding().encode(bytes)
    }

    private companion object {
        const val SECRET_BYTES = 32
        const val DIGEST_CHARS = 8
    }
}
