package cactusfold.entry.process

import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.DefaultConfiguration

/** Starts logging, has another configuration replace it, and checks before and after. */
fun main() {
    EntryLogging.start()
    check(EntryLogging.checkInForce())
    Configurator.reconfigure(DefaultConfiguration())
    repeat(2) { check(!EntryLogging.checkInForce()) }
}
