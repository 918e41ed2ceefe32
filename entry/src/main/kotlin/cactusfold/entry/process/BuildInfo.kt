package cactusfold.entry.process

/**
 * Names a build of the entry process.
 *
 * @property commit the full hash of the commit that it was made from, followed by `-modified` if
 *   files differed from it; `unknown` if it was made without git or without the history.
 * @property version the version of the project.
 */
public data class BuildInfo(public val commit: String, public val version: String) {
    public companion object {
        /** The build of this process, read from constants so that its start takes no longer. */
        public val OF_PROCESS: BuildInfo = BuildInfo(BUILD_COMMIT, BUILD_VERSION)
    }
}
