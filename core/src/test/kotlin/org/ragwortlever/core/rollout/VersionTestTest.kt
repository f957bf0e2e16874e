package org.ragwortlever.core.rollout

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.Random
import kotlin.math.exp

/** Draws answers of an old and a new version under the same load and counts the right verdicts. */
class VersionTestTest {
    private class Behaviour(
        val failureRate: Double = 0.0,
        val slowdown: Double = 1.0,
        val slowShare: Double = 1.0,
    )

    private class Draw(
        seed: Long,
        private val usualFailures: Double = 0.01,
        private val spread: Double = 0.5,
        private val load: (Int) -> Double = { 1.0 },
        private val routes: List<String> = listOf("a", "b", "c"),
        private val behaviour: (route: String, answer: Int) -> Behaviour,
    ) {
        private val random = Random(seed)
        private val test = VersionTest()
        private var evidence = VersionEvidence()
        var newAnswers = 0
            private set
        var badAnswers = 0
            private set

        /** Plays [steps] reports and returns the last verdict, or the first that says that the version is bad. */
        fun play(steps: Int): Verdict {
            var verdict: Verdict = Verdict.Open(0.0)
            repeat(steps) { step ->
                routes.forEach { route ->
                    repeat(OLD_PER_STEP) { record(route, isNew = false, Behaviour(usualFailures), load(step)) }
                    repeat(NEW_PER_STEP) { record(route, isNew = true, behaviour(route, newAnswers), load(step)) }
                }
                verdict = test.judge(evidence)
                if (verdict is Verdict.Bad) return verdict
            }
            return verdict
        }

        private fun record(
            route: String,
            isNew: Boolean,
            behaviour: Behaviour,
            load: Double,
        ) {
            val isFailed = random.nextDouble() < maxOf(behaviour.failureRate, usualFailures)
            val isSlow = behaviour.slowdown > 1 && random.nextDouble() < behaviour.slowShare
            val ratio = exp(random.nextGaussian() * spread) * load * if (isSlow) behaviour.slowdown else 1.0
            val before = (if (isNew) evidence.new else evidence.old)[route] ?: RouteOutcomes()
            val after = before.withAnswer(ratio).let { if (isFailed) it.copy(failures = it.failures + 1) else it }
            val added = mapOf(route to after)
            evidence = if (isNew) evidence.copy(new = evidence.new + added) else evidence.copy(old = evidence.old + added)
            if (!isNew) return
            newAnswers++
            if (isFailed || isSlow) badAnswers++
        }
    }

    private fun badOf(
        draws: Int = 1000,
        draw: (Long) -> Draw,
    ): Int = (0L until draws).count { draw(it).play(STEPS) is Verdict.Bad }

    @Test
    fun `given a sound version, when the load bursts to four times, then at most one in a hundred is found bad`() {
        val bad = badOf { seed -> Draw(seed, load = { if (it in 10..20) 4.0 else 1.0 }) { _, _ -> Behaviour() } }
        expectThat(bad).isLessThanOrEqualTo(10)
    }

    @Test
    fun `given a sound version beside a flaky old one, then at most one in a hundred is found bad`() {
        expectThat(badOf { seed -> Draw(seed, usualFailures = 0.15) { _, _ -> Behaviour() } }).isLessThanOrEqualTo(10)
    }

    @Test
    fun `given a version that fails three in ten from the start, then each is found bad within fifty bad answers`() {
        val draws = (0L until 1000).map { seed -> Draw(seed) { _, _ -> Behaviour(failureRate = 0.3) } }
        expectThat(draws.count { it.play(STEPS) is Verdict.Bad }).isEqualTo(1000)
        expectThat(draws.maxOf { it.badAnswers }).isLessThanOrEqualTo(50)
        println("answers until the verdict, failing from the start: ${draws.map { it.newAnswers }.sorted()[500]} at the median")
    }

    @Test
    fun `given a version that turns bad after two hundred answers, then at most one in a thousand is not found`() {
        val bad = badOf { seed -> Draw(seed) { _, answer -> if (answer < 200) Behaviour() else Behaviour(failureRate = 0.4) } }
        expectThat(bad).isGreaterThanOrEqualTo(999)
    }

    @Test
    fun `given a version that fails on one route only, then at most one in a thousand is not found`() {
        val bad = badOf { seed -> Draw(seed) { route, _ -> Behaviour(failureRate = if (route == "b") 0.4 else 0.0) } }
        expectThat(bad).isGreaterThanOrEqualTo(999)
    }

    @Test
    fun `given a version that is five times slower in half of its answers, then at most one in a thousand is not found`() {
        val bad = badOf { seed -> Draw(seed) { _, _ -> Behaviour(slowdown = 5.0, slowShare = 0.5) } }
        expectThat(bad).isGreaterThanOrEqualTo(999)
    }

    @Test
    fun `given a version that is slow under load only, when the load comes late, then at most one in a thousand is not found`() {
        val bad = badOf { seed -> Draw(seed) { _, answer -> if (answer < 200) Behaviour() else Behaviour(slowdown = 4.0) } }
        expectThat(bad).isGreaterThanOrEqualTo(999)
    }

    @Test
    fun `given a sound version, when each route has answered for long enough, then nearly all are found good`() {
        val good = (0L until 1000).count { seed -> Draw(seed) { _, _ -> Behaviour() }.play(STEPS) == Verdict.Good }
        expectThat(good).isGreaterThanOrEqualTo(980)
    }

    private companion object {
        // Half a second each: 16 requests a second at the new version, over three routes, for some ten seconds.
        const val STEPS = 25
        const val OLD_PER_STEP = 40
        const val NEW_PER_STEP = 6
    }
}
