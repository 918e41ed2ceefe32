package cactusfold.entry.callers

import io.vertx.core.http.HttpConnection

/** What has been written to callers' connections and is not sent yet. */
public interface ConnectionOutput {
    /** Returns the bytes that wait for the caller of [connection] to read. */
    public fun unsentBytes(connection: HttpConnection): Long

    /**
     * Has [connection] reset when it is closed, also by the end of the process; or closed in order,
     * after what was written, if not [isReset].
     */
    public fun resetOnClose(connection: HttpConnection, isReset: Boolean)

    /** Closes [connection] without sending what is left. */
    public fun cut(connection: HttpConnection)
}
