package org.ragwortlever.core.quarantine

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against blame that the crashes do not prove, and against a culprit that is taken for innocent. */
class CrashingPartsTest {
    private val parts = CrashingParts()
    private val start = Instant.fromEpochSeconds(1000)
    private var processes = 0

    /** A server ends while it runs requests with the shared parts [attempts]. */
    private fun crash(
        at: Duration,
        vararg attempts: Set<String>,
    ) {
        val process = "process-${processes++}"
        attempts.forEach { parts.recordBreak(process, it, start + at) }
        parts.recordProcessGone(process, start + at + 20.milliseconds)
    }

    private fun found(at: Duration = 60.seconds) = parts.findNew(start + at).map { it.part }

    @Test
    fun `given three crashes under one part, then it is quarantined with the crashes as evidence`() {
        repeat(3) { crash(it.seconds, setOf("culprit", "session-$it")) }
        expectThat(parts.findNew(start + 2.1.seconds)).isEmpty()
        expectThat(parts.findNew(start + 3.seconds)).isEqualTo(
            listOf(CrashingPart("culprit", setOf("process-0", "process-1", "process-2"))),
        )
    }

    @Test
    fun `given crashes under a part, when a request with it completes afterwards, then they no longer count`() {
        crash(0.seconds, setOf("popular"))
        crash(1.seconds, setOf("popular"))
        parts.recordCompletion(listOf("popular", "own"), start + 2.seconds)
        crash(3.seconds, setOf("popular"))
        crash(4.seconds, setOf("popular"))
        expectThat(found()).isEmpty()
    }

    @Test
    fun `given answers that processes break off and live on, then no part is quarantined`() {
        repeat(10) { parts.recordBreak("process-$it", setOf("part"), start + it.seconds) }
        expectThat(found()).isEmpty()
    }

    @Test
    fun `given a process that ends long after it broke off an answer, then its end is no crash`() {
        repeat(5) {
            parts.recordBreak("process-$it", setOf("part"), start + it.seconds)
            parts.recordProcessGone("process-$it", start + it.seconds + 6.seconds)
        }
        expectThat(found()).isEmpty()
    }

    @Test
    fun `given one crash that several VMs report, then it counts once`() {
        repeat(5) { crash(0.seconds, setOf("part")).also { processes = 0 } }
        expectThat(found()).isEmpty()
    }

    @Test
    fun `given two parts that always come together, when one has completed before, then the other is quarantined`() {
        parts.recordCompletion(listOf("first", "own"), start - 5.seconds)
        repeat(3) { crash(it.seconds, setOf("first", "culprit")) }
        expectThat(found()).containsExactly("culprit")
    }

    @Test
    fun `given two parts that were never seen apart, then both are quarantined`() {
        repeat(3) { crash(it.seconds, setOf("one", "two")) }
        expectThat(found()).containsExactlyInAnyOrder("one", "two")
    }

    @Test
    fun `given a part of another request in each crash, when nothing favours one, then none is quarantined before a further crash`() {
        repeat(3) { crash(it.seconds, setOf("culprit"), setOf("unlucky")) }
        expectThat(found(3.seconds)).isEmpty()
        crash(4.seconds, setOf("culprit"))
        expectThat(found()).containsExactly("culprit")
    }

    // Guards against a decision before all VMs have reported what ran on a crashed server.
    @Test
    fun `given a part that ran beside the culprit, when its break is reported first, then the culprit alone is quarantined`() {
        parts.recordCompletion(listOf("unlucky", "own"), start - 1.seconds)
        repeat(2) { crash(it.seconds, setOf("unlucky"), setOf("culprit")) }
        crash(2.seconds, setOf("unlucky"))
        expectThat(found(2.05.seconds)).isEmpty()
        parts.recordBreak("process-2", setOf("culprit"), start + 2.seconds)
        expectThat(found(2.3.seconds)).containsExactly("culprit")
    }

    @Test
    fun `given two culprits at once, when each has its own crashes, then both are quarantined`() {
        repeat(3) {
            crash(it.seconds, setOf("one", "session-$it"), setOf("bystander-$it"))
            crash(it.seconds + 500.milliseconds, setOf("two", "session-$it"))
        }
        expectThat(found()).containsExactlyInAnyOrder("one", "two")
    }

    @Test
    fun `given many servers that end together, when a part ran on a few of them, then their common cause excuses the part`() {
        repeat(3) { time -> repeat(8) { crash(time.seconds, if (it < 2) setOf("part") else setOf("other-$time-$it")) } }
        expectThat(found()).isEmpty()
    }

    @Test
    fun `given a quarantined part, when its time is over, then requests with it may run again`() {
        repeat(3) { crash(it.seconds, setOf("culprit", "session-$it")) }
        found(3.seconds)
        expectThat(parts.isQuarantined("culprit", start + 3.seconds)).isTrue()
        expectThat(parts.isQuarantined("culprit", start + 10.minutes + 4.seconds)).isFalse()
    }

    @Test
    fun `given an expired quarantine, when another VM repeats it, then it is not renewed`() {
        parts.quarantine("culprit", start, start + 10.minutes)
        expectThat(parts.isQuarantined("culprit", start + 10.minutes)).isFalse()
    }

    // Guards against evidence that counts again once the completion that cleared it is forgotten.
    @Test
    fun `given a part that was cleared of crashes, when many other requests complete, then the crashes do not count again`() {
        repeat(2) { crash(it.seconds, setOf("popular")) }
        parts.recordCompletion(listOf("popular", "own"), start + 2.seconds)
        repeat(5_000) { parts.recordCompletion(listOf("other-$it", "own"), start + 3.seconds) }
        crash(4.seconds, setOf("popular"))
        expectThat(found()).isEmpty()
    }

    @Test
    fun `given ten thousand other parts, when their requests complete, then a culprit is still found`() {
        repeat(3) { number ->
            crash(number.seconds, setOf("culprit", "session-$number"))
            repeat(3_500) { parts.recordCompletion(listOf("other-$number-$it", "own"), start + number.seconds) }
        }
        expectThat(found()).containsExactly("culprit")
    }
}
