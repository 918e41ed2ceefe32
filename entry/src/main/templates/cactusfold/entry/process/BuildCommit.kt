package cactusfold.entry.process

// The build fills in the values; see entry/pom.xml.

/** The commit that this build was made from. */
internal const val BUILD_COMMIT: String = "${cactusfold.commit}"

/** The version of the project. */
internal const val BUILD_VERSION: String = "${project.version}"
