package cactusfold.cli.logs

import cactusfold.node.launch.ExitCode
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** Log files as they were read. */
internal sealed interface LogRead {
    /** @property passedOver lines that are no events. */
    class Ok(val log: MergedLog, val passedOver: Int) : LogRead

    class Failed(val reason: String) : LogRead
}

/** Reads the lines of all processes from [files]. */
internal fun readLogs(files: List<Path>): LogRead {
    val lines = mutableListOf<LogLine>()
    var passedOver = 0
    for (file in files) {
        try {
            Files.newBufferedReader(file).useLines { texts ->
                for (text in texts) {
                    val line = LogLine.parse(text)
                    if (line == null) passedOver++ else lines += line
                }
            }
        } catch (_: NoSuchFileException) {
            return LogRead.Failed("$file: no such file")
        } catch (e: IOException) {
            return LogRead.Failed("$file: cannot be read: ${e.message}")
        }
    }
    return LogRead.Ok(MergedLog.of(lines), passedOver)
}

/** Reads [files] and calls [onRead]; prints why when they can't be read, and returns the exit code. */
internal fun withLogs(files: List<Path>, onRead: (LogRead.Ok) -> Int): Int =
    when (val read = readLogs(files)) {
        is LogRead.Failed -> {
            System.err.println(read.reason)
            ExitCode.DATA
        }
        is LogRead.Ok -> onRead(read)
    }
