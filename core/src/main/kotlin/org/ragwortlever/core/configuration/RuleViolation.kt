package org.ragwortlever.core.configuration

/** A rule that a document breaks at [path]. */
data class RuleViolation(
    val path: String,
    val rule: String,
)
