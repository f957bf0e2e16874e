// Conversion of durations to fractional seconds, the unit of the estimates.
package org.ragwortlever.core.admission

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** This duration in seconds, with a fraction. */
internal fun Duration.inSeconds(): Double = toDouble(DurationUnit.SECONDS)
