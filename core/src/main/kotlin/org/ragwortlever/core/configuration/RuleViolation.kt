package org.ragwortlever.core.configuration

/** A violation of [rule] at the JSON path [path] of a document. */
data class RuleViolation(
    val path: String,
    val rule: String,
)
