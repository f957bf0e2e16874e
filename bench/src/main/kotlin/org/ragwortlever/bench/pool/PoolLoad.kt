// The requests of a run: three classes over shared prompts, as entry VMs of one deployment see them.
package org.ragwortlever.bench.pool

import org.ragwortlever.core.dispatch.PromptPart
import org.ragwortlever.core.route.EngineSize
import org.ragwortlever.core.route.Route
import org.ragwortlever.core.route.RouteKind
import org.ragwortlever.core.route.ServiceDefinition
import org.ragwortlever.core.route.WeightedService
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A class of requests.
 *
 * @property share of all requests.
 * @property common tokens of the part that a quarter of the class shares.
 * @property subject tokens of the part that requests of one subject share.
 * @property tail tokens of the request's own part.
 */
internal class PoolClass(
    val name: String,
    val share: Double,
    val common: Int,
    val subject: Int,
    val tail: Int,
    val answerTokens: Int,
    val subjects: Int,
    val route: Route,
) {
    val promptTokens: Int get() = common + subject + tail
}

/** A request as it arrives. */
internal class PoolRequest(
    val number: Long,
    val kind: PoolClass,
    val parts: List<PromptPart>,
    val atSeconds: Double,
)

internal object PoolLoad {
    const val SERVICE = "engines"
    const val ENGINE_SLOTS = 64
    const val ENGINE_TOKENS = 200_000

    /** Requests a second at load 1 for one engine: with shared parts cached, reading alone takes half of its time. */
    const val REQUESTS_PER_ENGINE = 9.0

    val definition = ServiceDefinition(SERVICE, 1000, coldRequestsPerSecond = 8.0, engine = EngineSize(ENGINE_SLOTS, ENGINE_TOKENS))

    val classes =
        listOf(
            PoolClass("long", 0.465, 2520, 3780, 2890, 52, 390, route("long", 2, 2500, 5000, 2000)),
            PoolClass("short", 0.295, 341, 227, 1800, 24, 560, route("short", 1, 800, 3000, 800)),
            PoolClass("chat", 0.24, 103, 69, 543, 280, 200, route("chat", 0, 500, 12_000, 500)),
        )

    /** Poisson arrivals over [seconds] at [perSecond], with the bursts of [scenario]. */
    fun requests(
        scenario: PoolScenario,
        perSecond: Double,
        seconds: Double,
        random: Random,
    ): List<PoolRequest> {
        val requests = ArrayList<PoolRequest>()
        var now = 0.0
        while (true) {
            val inBurst = now in scenario.from..scenario.until
            val factor = if (inBurst && scenario.burstClass != null) BURST else 1.0
            now += -ln(1 - random.nextDouble()) / (perSecond * factor)
            if (now > seconds) return requests
            val extra = inBurst && scenario.burstClass != null && random.nextDouble() > 1 / BURST
            val kind = classes.firstOrNull { extra && it.name == scenario.burstClass } ?: draw(random)
            val hot = inBurst && scenario.hotPrompt && random.nextDouble() < HOT_SHARE
            requests += request(requests.size.toLong(), if (hot) classes.first() else kind, if (hot) 0 else null, now, random)
        }
    }

    private fun request(
        number: Long,
        kind: PoolClass,
        subject: Int?,
        now: Double,
        random: Random,
    ): PoolRequest {
        // Squared, so that some subjects are asked for much more often than others.
        val chosen = subject ?: (random.nextDouble().let { it * it } * kind.subjects).toInt()
        val parts =
            listOf(
                PromptPart("${kind.name}-${chosen % COMMON_PARTS}", kind.common),
                PromptPart("${kind.name}-s$chosen", kind.subject),
                PromptPart("own-$number", kind.tail),
            )
        return PoolRequest(number, kind, parts, now)
    }

    private fun draw(random: Random): PoolClass {
        var rest = random.nextDouble()
        return classes.firstOrNull { kind -> (rest < kind.share).also { rest -= kind.share } } ?: classes.last()
    }

    private fun route(
        name: String,
        tier: Int,
        target: Int,
        timeout: Int,
        gap: Int,
    ) = Route(
        name,
        "host",
        "/$name/",
        listOf(WeightedService(SERVICE, 1)),
        RouteKind.STREAM,
        timeout.milliseconds,
        target.milliseconds,
        gap.milliseconds,
        tier,
        maximumAttempts = 2,
    )

    private const val BURST = 1.8
    private const val HOT_SHARE = 0.3
    private const val COMMON_PARTS = 4
}

/**
 * What goes wrong between [from] and [until], in seconds.
 *
 * @property burstClass class whose requests nearly double the load.
 * @property hotPrompt whether one subject gets a third of the requests.
 * @property lostShare part of the engines that crash and come back empty at the end.
 * @property slowShare part of the engines that work at half speed.
 * @property silentDecider whether the VM that decides answers no question of the others.
 * @property engineTokens memory of each engine, in tokens.
 * @property limitedShare part of the engines that name a limit of a third of the requests that they can serve.
 */
internal data class PoolScenario(
    val name: String,
    val from: Double = 8.0,
    val until: Double = 16.0,
    val burstClass: String? = null,
    val hotPrompt: Boolean = false,
    val lostShare: Double = 0.0,
    val slowShare: Double = 0.0,
    val silentDecider: Boolean = false,
    val limitedShare: Double = 0.0,
    val engineTokens: Int = PoolLoad.ENGINE_TOKENS,
) {
    companion object {
        val ALL =
            listOf(
                PoolScenario("steady"),
                PoolScenario("class-burst", burstClass = "long"),
                PoolScenario("hot-prompt", hotPrompt = true),
                PoolScenario("engines-lost", lostShare = 0.25),
                PoolScenario("engines-slow", slowShare = 0.25),
                PoolScenario("decider-silent", silentDecider = true),
                PoolScenario("limited", limitedShare = 0.25),
                PoolScenario("memory-bound", engineTokens = PoolLoad.ENGINE_TOKENS / 3),
            )
    }
}
