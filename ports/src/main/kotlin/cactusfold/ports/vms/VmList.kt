package cactusfold.ports.vms

import cactusfold.ports.http.HttpCall
import cactusfold.ports.http.HttpOutcome
import cactusfold.ports.http.PlatformHttp
import io.vertx.core.json.JsonObject

/**
 * A VM in the platform's list, which may be outdated.
 *
 * @property leaving whether the VM is about to be removed.
 */
public data class ListedVm(
    public val name: String,
    public val zone: String,
    public val leaving: Boolean
)

/** The platform's list of VMs that are live or about to be removed. */
public interface VmList {
    /** Returns the VMs, or null if the list cannot be read. */
    public suspend fun read(): List<ListedVm>?
}

/** Reads the list as JSON over HTTP: `GET /vms` returns `{"vms":[{"name","zone","state"}]}`. */
public class HttpVmList(private val http: PlatformHttp) : VmList {
    override suspend fun read(): List<ListedVm>? {
        val outcome = http.send(HttpCall("GET", "/vms"))
        val vms = (outcome as? HttpOutcome.Answer)?.json()?.getJsonArray("vms") ?: return null
        return vms.map {
            val vm = it as JsonObject
            ListedVm(vm.getString("name"), vm.getString("zone"), vm.getString("state") == "leaving")
        }
    }
}
