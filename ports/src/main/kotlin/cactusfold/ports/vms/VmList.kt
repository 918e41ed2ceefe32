package cactusfold.ports.vms

import cactusfold.ports.http.HttpCall
import cactusfold.ports.http.HttpOutcome
import cactusfold.ports.http.PlatformHttp
import io.vertx.core.json.JsonObject

/** A VM in the platform's list, which lags. */
public data class ListedVm(
    public val name: String,
    public val zone: String,
    public val leaving: Boolean
)

/** The platform's list of live and leaving VMs. */
public interface VmList {
    /** Returns the VMs, or null when the list can't be read. */
    public suspend fun read(): List<ListedVm>?
}

/** The list of VMs as JSON over HTTP: `GET /vms` with `{"vms":[{"name","zone","state"}]}`. */
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
