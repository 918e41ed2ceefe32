package cactusfold.cli.logs

import cactusfold.node.launch.ExitCode
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** Result of reading log files. */
internal sealed interface LogRead {
    /** @property skippedLines number of lines that are not events. */
    class Ok(val log: MergedLog, val skippedLines: Int) : LogRead

    class Failed(val reason: String) : LogRead
}

/** Reads and merges the event lines of [files]. */
internal fun readLogs(files: List<Path>): LogRead {
    val lines = mutableListOf<LogLine>()
    var skippedLines = 0
    for (file in files) {
        try {
            Files.newBufferedReader(file).useLines { texts ->
                for (text in texts) {
                    val line = LogLine.parse(text)
                    if (line == null) skippedLines++ else lines += line
                }
            }
        } catch (_: NoSuchFileException) {
            return LogRead.Failed("$file: no such file")
        } catch (e: IOException) {
            return LogRead.Failed("$file: cannot be read: ${e.message}")
        }
    }
    return LogRead.Ok(MergedLog.of(lines), skippedLines)
}

/** Calls [onRead] with the logs in [files], or prints why reading failed; returns the exit code. */
internal fun withLogs(files: List<Path>, onRead: (LogRead.Ok) -> Int): Int =
    when (val read = readLogs(files)) {
        is LogRead.Failed -> {
            System.err.println(read.reason)
            ExitCode.DATA
        }
        is LogRead.Ok -> onRead(read)
    }
