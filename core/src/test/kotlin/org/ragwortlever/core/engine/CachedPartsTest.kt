package org.ragwortlever.core.engine

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class CachedPartsTest {
    private val start = Instant.fromEpochMilliseconds(0)
    private val parts = CachedParts()

    @Test
    fun `given a memory-bound engine, when more has been sent than it holds, then the least recently used parts are gone`() {
        (0 until 10).forEach { parts.recordUse("part-$it", 10_000, start + it.milliseconds) }
        parts.recordUse("part-0", 10_000, start + 1.seconds)
        parts.evictDownTo(50_000)
        expectThat(parts.tokens).isEqualTo(50_000)
        expectThat((0 until 10).filter { parts.isCached("part-$it", start + 1.seconds) }).isEqualTo(listOf(0, 6, 7, 8, 9))
    }

    @Test
    fun `given a thousand beginnings used once each, then what is remembered of an engine stays bounded`() {
        (0 until 5000).forEach { parts.recordUse("part-$it", 1, start) }
        expectThat(parts.tokens).isEqualTo(1000)
    }

    @Test
    fun `given an idle engine, when a part has not been used for long, then it is not relied on`() {
        parts.recordUse("part", 10_000, start)
        expectThat(parts.isCached("part", start + 29.seconds)).isTrue()
        expectThat(parts.isCached("part", start + 31.seconds)).isFalse()
    }

    @Test
    fun `given running requests that need all memory, then nothing is believed to be cached`() {
        parts.recordUse("part", 10_000, start)
        parts.evictDownTo(-5000)
        expectThat(parts.isCached("part", start)).isFalse()
    }
}
