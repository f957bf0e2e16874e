// Orders backend servers of one availability zone while this node holds the order role of that zone.
package org.ragwortlever.daemon.role

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import org.ragwortlever.core.lease.LeaseTimes
import org.ragwortlever.core.log.eventLine
import org.ragwortlever.core.order.OrderAction
import org.ragwortlever.core.order.OrderAnswer
import org.ragwortlever.core.order.OrderCall
import org.ragwortlever.core.order.OrderProtocol
import org.ragwortlever.core.order.ServerOrder
import org.ragwortlever.daemon.platform.KeyValueStore
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Instant

/**
 * Executes the calls of [OrderProtocol] against the store and the ordering interface.
 *
 * @param platform base URL of the platform's API.
 */
internal class OrderRole(
    private val platform: String,
    private val store: KeyValueStore,
    private val client: OkHttpClient,
    private val lease: LeaseManager,
    private val now: () -> Instant,
    zone: String,
    private val times: LeaseTimes = LeaseTimes(),
) : AutoCloseable {
    private val requested = ConcurrentLinkedQueue<ServerOrder>()
    private val sender = BoundedSender(client, times.sendTimeout, lease::isSafeToSend)
    private val thread = RoleThread("orders $zone", step = ::step)
    private var protocol = OrderProtocol(zone, times)

    fun start() = thread.start()

    /** Queues [order], which is executed if this node holds the order role of the zone. */
    fun request(order: ServerOrder) {
        requested += order
    }

    override fun close() = thread.close()

    private fun step(): Boolean {
        val held = lease.held()
        protocol = protocol.withLease(held)
        while (true) protocol = protocol.request(requested.poll() ?: break)
        val call = held?.let { protocol.nextCall(it, now()) } ?: return false
        val answer = execute(call)
        protocol = protocol.withLease(lease.held()).handleAnswer(call, answer, now())
        logger.debug { eventLine("order-step", "call" to call, "answer" to answer) }
        return true
    }

    private fun execute(call: OrderCall): OrderAnswer =
        when (call) {
            is OrderCall.Load -> OrderAnswer.FromStore(store.execute(call.call))
            is OrderCall.Record -> OrderAnswer.FromStore(store.execute(call.call))
            is OrderCall.Ask -> queryOrder(call.id)
            is OrderCall.Send -> sendOrder(call)
        }

    private fun queryOrder(id: String): OrderAnswer =
        try {
            client.newCall(Request.Builder().url(orderUrl(id)).build()).execute().use {
                if (it.isSuccessful) {
                    OrderAnswer.Accepted
                } else if (it.code == STATUS_NOT_FOUND) {
                    OrderAnswer.Unknown
                } else {
                    OrderAnswer.NoAnswer
                }
            }
        } catch (_: IOException) {
            OrderAnswer.NoAnswer
        }

    private fun sendOrder(call: OrderCall.Send): OrderAnswer {
        val order = call.order
        val body = OrderBody(order.zone, order.action, order.server, order.kind, call.fencing)
        return when (val outcome = sender.put(orderUrl(order.id), Json.encodeToString(OrderBody.serializer(), body), call.fencing)) {
            is SendOutcome.NotSent -> OrderAnswer.NotSent
            is SendOutcome.NoAnswer -> OrderAnswer.NoAnswer
            is SendOutcome.Answered -> outcome.toOrderAnswer()
        }
    }

    private fun SendOutcome.Answered.toOrderAnswer(): OrderAnswer =
        when (status) {
            in 200..299 -> OrderAnswer.Accepted
            STATUS_PRECONDITION_FAILED -> OrderAnswer.StaleFencing
            in 400..499 -> OrderAnswer.Rejected("status $status")
            else -> OrderAnswer.NoAnswer
        }

    private fun orderUrl(id: String) = "$platform/orders/v1/orders/$id"

    /** Request body of an order, as the ordering interface expects it. */
    @Serializable
    private data class OrderBody(
        val zone: String,
        val action: OrderAction,
        val server: String,
        val kind: String,
        val fencing: Long,
    )

    private companion object {
        val logger = KotlinLogging.logger {}
        const val STATUS_NOT_FOUND = 404
        const val STATUS_PRECONDITION_FAILED = 412
    }
}
