package org.ragwortlever.core.intake

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The load: clients that open connections, send heads and bodies of any size at any pace, stop, and close. */
@OptIn(ExperimentalKotest::class)
class IntakeControlPropertyTest {
    private val limits = IntakeLimits(connections = 40, bytes = 4_000_000)

    @Test
    fun `given any schedule of clients, then what they hold stays within the limits and all of it is given back`() =
        runBlocking<Unit> {
            println("seed 42")
            checkAll(PropTestConfig(seed = 42, iterations = 200), Arb.long()) { seed ->
                val random = Random(seed)
                val control = IntakeControl { limits }
                var now = Instant.fromEpochMilliseconds(0)
                val open = HashSet<ConnectionId>()
                var next = 0L
                repeat(400) {
                    now += random.nextInt(400).milliseconds
                    val id = open.randomOrNull(random)
                    val decision = if (id == null || random.nextInt(4) == 0) {
                        ConnectionId(next++).let { new ->
                            control.open(new, "client-${random.nextInt(5)}", now).also { if (it is IntakeDecision.Accepted) open += new }
                        }
                    } else {
                        step(control, id, random, now).also { if (it is IntakeDecision.Full) open -= id.also(control::close) }
                    }
                    open -= decision.closed.toSet()
                    if (random.nextInt(10) == 0) open -= control.expire(random.nextBoolean(), now).map { it.id }.toSet()
                    expectThat(control.reservedBytes).isLessThanOrEqualTo(limits.bytes)
                    expectThat(control.openConnections).isEqualTo(open.size)
                    expectThat(open.size).isLessThanOrEqualTo(limits.connections)
                }
                open.forEach(control::close)
                expectThat(control.reservedBytes).isEqualTo(0)
            }
        }

    private fun step(
        control: IntakeControl,
        id: ConnectionId,
        random: Random,
        now: Instant,
    ): IntakeDecision =
        when (random.nextInt(6)) {
            0 -> control.receiveHead(id, random.nextInt(4000), now)
            1 -> control.beginBody(id, random.nextInt(1_000_000).toLong(), now)
            2, 3 -> control.receiveBody(id, random.nextInt(10_000), random.nextInt(1_000_000).toLong(), now)
            4 -> IntakeDecision.Accepted().also { control.complete(id, now) }
            else -> IntakeDecision.Accepted().also { control.release(id, now) }
        }

    @Test
    fun `given a budget full of bodies that stand still, when an ordinary request comes, then it is accepted`() {
        val control = IntakeControl { limits }
        val start = Instant.fromEpochMilliseconds(0)
        repeat(30) { number ->
            val id = ConnectionId(number.toLong())
            control.open(id, "hostile", start)
            control.receiveHead(id, 500, start)
            control.beginBody(id, 1_000_000, start)
        }
        val now = start + 2.seconds
        val id = ConnectionId(100)
        expectThat(control.open(id, "ordinary", now)).isA<IntakeDecision.Accepted>()
        expectThat(control.receiveHead(id, 500, now)).isA<IntakeDecision.Accepted>()
        expectThat(control.beginBody(id, 900_000, now)).isA<IntakeDecision.Accepted>()
    }

    @Test
    fun `given large requests that fill their share, when a small one comes, then it is accepted and none is given up`() {
        val control = IntakeControl { limits }
        val now = Instant.fromEpochMilliseconds(0)
        val accepted = (0L until 30).count { number ->
            control.open(ConnectionId(number), "client-$number", now)
            control.beginBody(ConnectionId(number), 500_000, now) is IntakeDecision.Accepted
        }
        expectThat(accepted).isEqualTo(6)
        control.open(ConnectionId(31), "client", now)
        expectThat(control.beginBody(ConnectionId(31), 10_000, now)).isEqualTo(IntakeDecision.Accepted())
    }

    @Test
    fun `given connections that send nothing, when there are too many, then the one idle for longest makes room`() {
        val control = IntakeControl { limits }
        val start = Instant.fromEpochMilliseconds(0)
        (0L until 40).forEach { control.open(ConnectionId(it), "idle", start + it.milliseconds) }
        val decision = control.open(ConnectionId(40), "ordinary", start + 1.seconds)
        expectThat(decision).isEqualTo(IntakeDecision.Accepted(listOf(ConnectionId(0))))
    }

    @Test
    fun `given a caller that reads a byte now and then, when its write is blocked for long, then it is closed`() {
        val control = IntakeControl { limits }
        val start = Instant.fromEpochMilliseconds(0)
        val id = ConnectionId(1)
        control.open(id, "slow", start)
        control.complete(id, start)
        (0..16).forEach { control.recordBlockedWrite(id, 1, start + it.seconds) }
        expectThat(control.expire(false, start + 14.seconds)).isEqualTo(emptyList())
        expectThat(control.expire(true, start + 14.seconds)).isEqualTo(listOf(ExpiredConnection(id, CloseReason.RESPONSE_STALLED)))
    }
}

private fun Set<ConnectionId>.randomOrNull(random: Random): ConnectionId? = if (isEmpty()) null else elementAt(random.nextInt(size))
