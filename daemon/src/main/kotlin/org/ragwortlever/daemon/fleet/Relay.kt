// The side of an entry VM that passes the store's changes on to other VMs.
package org.ragwortlever.daemon.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ragwortlever.core.fleet.ChangeLog
import org.ragwortlever.core.fleet.RelayAnswer
import org.ragwortlever.core.fleet.RelayQuestion
import org.ragwortlever.core.fleet.ServiceLoad
import org.ragwortlever.core.fleet.total
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Answers questions for changes from [log]. */
@OptIn(ExperimentalSerializationApi::class)
internal class Relay(
    private val log: ChangeLog,
    private val now: () -> Instant,
) {
    private class ReportedLoad(
        val load: Map<String, ServiceLoad>,
        val at: Instant,
    )

    private val loads = ConcurrentHashMap<String, ReportedLoad>()

    /** What the callers of this VM, [own], and of the VMs that ask here want of each service. */
    fun loadWith(own: Map<String, ServiceLoad>): Map<String, ServiceLoad> {
        val current = now()
        loads.values.removeIf { current - it.at > LOAD_LIFETIME }
        return (loads.values.map { it.load } + own).total()
    }

    fun handle(request: Request): Response {
        if (request.uri.path != PATH) return Response(Status.NOT_FOUND)
        val question =
            try {
                Cbor.decodeFromByteArray(RelayQuestion.serializer(), request.body.stream.readNBytes(LONGEST_QUESTION_BYTES))
            } catch (failure: SerializationException) {
                return Response(Status.BAD_REQUEST).body(failure.message.orEmpty())
            }
        loads[question.node] = ReportedLoad(question.load, now())
        val answer = log.await(question.revision, minOf(question.waitMilliseconds.milliseconds, LONGEST_WAIT), now)
        val bytes = Cbor.encodeToByteArray(RelayAnswer.serializer(), answer)
        return Response(Status.OK).body(Body(bytes.inputStream(), bytes.size.toLong()))
    }

    companion object {
        const val PATH = "/changes"
        private const val LONGEST_QUESTION_BYTES = 64 * 1024
        private val LONGEST_WAIT: Duration = 2.seconds
        private val LOAD_LIFETIME: Duration = 4.seconds
    }
}
