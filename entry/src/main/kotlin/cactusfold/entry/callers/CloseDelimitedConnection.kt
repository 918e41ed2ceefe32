package cactusfold.entry.callers

import io.vertx.core.Future
import io.vertx.core.http.HttpConnection

/** A connection of a caller that takes its end for that of a stream, as HTTP/1.0 has it. */
public class CloseDelimitedConnection(
    private val connection: HttpConnection,
    private val output: ConnectionOutput
) {
    /** Has the connection be reset if it ends before [complete], also with the process. */
    public fun begin(): Unit = output.resetOnClose(connection, isReset = true)

    /** Records that all of the stream has been written, so that the connection may be closed. */
    public fun complete(): Unit = output.resetOnClose(connection, isReset = false)

    /** Closes the connection. */
    public fun close(): Future<Void> = connection.close()
}
