package org.ragwortlever.core.fleet

import org.junit.jupiter.api.Test
import org.ragwortlever.core.store.StoreChange
import org.ragwortlever.core.store.StoreEntry
import org.ragwortlever.core.store.revisionInEpoch
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ChangeLogTest {
    private val start = Instant.fromEpochSeconds(1000)
    private val log = ChangeLog()

    private fun put(key: String) = StoreChange.Put(StoreEntry(key, "v", 1, 1))

    @Test
    fun `given changes since a listing, when a VM asks, then it gets those that it lacks, in order`() {
        log.reset(10, start)
        log.append(12, listOf(put("a")), start)
        log.append(15, listOf(put("b"), StoreChange.Removed("a")), start)
        expectThat(log.since(10, start).changes).isNotNull().get { map { it.key } }.containsExactly("a", "b", "a")
        expectThat(log.since(12, start).changes).isNotNull().get {
            map { it.toStoreChange() }
        }.containsExactly(put("b"), StoreChange.Removed("a"))
        expectThat(log.since(15, start).changes).isEqualTo(emptyList())
    }

    @Test
    fun `given a VM whose revision is older than the log, when it asks, then it is told to read everything`() {
        log.reset(10, start)
        expectThat(log.since(9, start).changes).isNull()
        log.append(12, listOf(put("a")), start)
        log.append(13, listOf(put("b")), start + 60.seconds)
        expectThat(log.since(10, start + 60.seconds).changes).isNull()
        expectThat(log.since(12, start + 60.seconds).changes).isNotNull()
    }

    @Test
    fun `given a relay that has lost the store, when a VM asks, then the response gives the age of the relay's state`() {
        log.reset(10, start)
        expectThat(log.since(10, start + 3.seconds).ageMilliseconds).isEqualTo(3000)
        log.append(10, emptyList(), start + 3.seconds - 200.milliseconds)
        expectThat(log.since(10, start + 3.seconds).ageMilliseconds).isEqualTo(200)
    }

    @Test
    fun `given a relay that has listed a restored store, when a VM of the epoch before asks, then it is told to read everything`() {
        log.reset(10, start)
        log.append(12, listOf(put("a")), start)
        log.reset(revisionInEpoch(1, 5), start)
        val asked = listOf(1L, 5L, 10L, 12L, 30L)
        asked.forEach { expectThat(log.since(it, start).changes).isNull() }
        log.append(revisionInEpoch(1, 11), listOf(put("b")), start)
        asked.forEach { expectThat(log.since(it, start).changes).isNull() }
        expectThat(log.since(revisionInEpoch(1, 5), start).changes).isNotNull().get { map { it.key } }.containsExactly("b")
    }

    @Test
    fun `given a relay that does not know a restored store, when a VM of the new epoch asks, then its state counts as outdated`() {
        log.reset(10, start)
        log.append(12, listOf(put("a")), start)
        listOf(1L, 11L, 12L, 30L).forEach {
            expectThat(log.since(revisionInEpoch(1, it), start).ageMilliseconds).isEqualTo(3_600_000)
            expectThat(log.since(revisionInEpoch(1, it), start).changes).isEqualTo(emptyList())
        }
    }

    @Test
    fun `given a VM that is ahead of the relay, when it asks, then the relay's state counts as outdated`() {
        log.reset(10, start)
        expectThat(log.since(20, start).ageMilliseconds).isEqualTo(3_600_000)
    }
}
