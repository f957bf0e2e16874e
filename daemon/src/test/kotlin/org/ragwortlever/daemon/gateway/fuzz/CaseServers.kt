// The scripted servers of one generated exchange, and the record of what they ran and sent.
package org.ragwortlever.daemon.gateway.fuzz

import org.ragwortlever.core.answer.AnswerFraming
import org.ragwortlever.daemon.gateway.ReceivedRequest
import org.ragwortlever.daemon.gateway.reset
import org.ragwortlever.daemon.gateway.write
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Plays [case] on the request [CASE_ID]; answers all other requests soundly. */
internal class CaseServers(
    private val case: AnswerCase,
) {
    private val attempts = AtomicInteger()
    private val runs = ConcurrentHashMap<String, Int>()

    /** Connections on which the request was refused, and the refusal comes again before the next answer. */
    private val repeating = ConcurrentHashMap.newKeySet<Socket>()

    /** Number of times that the request was sent to a server. */
    val attemptCount: Int get() = attempts.get()

    /** Bodies that a caller may get as complete. */
    val completeBodies: MutableSet<String> = ConcurrentHashMap.newKeySet()

    fun runsOf(id: String): Int = runs[id] ?: 0

    /** Answers one request that the server [name] received. */
    fun answer(
        name: String,
        request: ReceivedRequest,
        socket: Socket,
    ) {
        val id = request.header("X-Request-Id").orEmpty()
        when {
            id != CASE_ID -> sendSound(name, id, socket)
            attempts.incrementAndGet() == 1 -> sendMutated(name, request, socket)
            case.mutation == Mutation.REFUSAL_REPEATED_LATE -> sendAfterCopy(name, request, socket)
            else -> sendNext(name, request, socket)
        }
    }

    /** Answers a second send of the request; refuses it once on each server, as a full one does. */
    private fun sendAfterCopy(
        name: String,
        request: ReceivedRequest,
        socket: Socket,
    ) {
        if (socket in repeating) socket.write(refusal(OWN_REFUSAL))
        if (attemptCount == 2) return sendRefusal(socket)
        run(CASE_ID)
        sendWhole(name, wire(name, case.route, request, case.framing), socket)
        if (case.framing == AnswerFraming.CLOSE) socket.close()
    }

    private fun sendSound(
        name: String,
        id: String,
        socket: Socket,
    ) {
        run(id)
        socket.write(head(name, id, "Content-Length: 5\r\n") + "sound")
    }

    private fun sendMutated(
        name: String,
        request: ReceivedRequest,
        socket: Socket,
    ) {
        if (!case.isRefused) run(CASE_ID)
        val wire = wire(name, case.route, request, case.framing)
        when (case.mutation) {
            Mutation.NONE -> sendWhole(name, wire, socket)
            Mutation.CUT_AND_CLOSE -> sendCut(name, wire, socket) { socket.close() }
            Mutation.CUT_AND_RESET -> sendCut(name, wire, socket) { socket.reset() }
            Mutation.EARLIER_ANSWER_FIRST -> socket.write(head("x", EARLIER_ID, "Content-Length: 5\r\n") + "early" + wire.text)
            Mutation.EARLIER_REFUSAL_FIRST -> socket.write(refusal("X-Request-Id: $EARLIER_ID\r\nX-Not-Run: 1\r\n") + wire.text)
            Mutation.EARLIER_REFUSAL_WITHOUT_ID_FIRST -> sendRefusalWithoutId(wire, socket)
            Mutation.EARLIER_MISDIRECTION_FIRST -> socket.write(refusal("X-Request-Id: $EARLIER_ID\r\n", "421 Misdirected") + wire.text)
            Mutation.REPEATED_AFTER_END -> sendRepeated(name, wire, socket)
            Mutation.REPEATED_WITHIN_STREAM -> sendRepeatedWithin(name, wire, socket)
            Mutation.INVALID_LINE_IN_HEAD -> socket.write(wire.text.replaceFirst("\r\n", "\r\nno header\r\n"))
            Mutation.SECOND_LENGTH -> socket.write(wire.text.replaceFirst("\r\n", "\r\nContent-Length: 7\r\nContent-Length: 3\r\n"))
            Mutation.BYTES_BEFORE_HEAD -> socket.write("\u0016\u0003\u0001*\u0002" + wire.text)
            Mutation.SHORT_CHUNK_SIZE -> sendMalformedChunk(name, wire, socket) { it.drop(1) }
            Mutation.BYTES_AFTER_CHUNK -> sendMalformedChunk(name, wire, socket) { it.dropLast(2) + "x\r\n" }
            Mutation.REFUSAL, Mutation.REFUSAL_REPEATED_LATE -> sendRefusal(socket)
        }
        if (case.framing == AnswerFraming.CLOSE && !socket.isClosed) socket.close()
    }

    private fun sendWhole(
        name: String,
        wire: Wire,
        socket: Socket,
    ) {
        completeBodies += wholeBody(name)
        wire.packets.forEach { socket.write(it) }
    }

    private fun sendCut(
        name: String,
        wire: Wire,
        socket: Socket,
        end: () -> Unit,
    ) {
        val length = wire.text.length * case.cut / 1000
        socket.write(wire.text.take(length))
        val sent = wire.text.substring(minOf(wire.headLength, length), length)
        // What is complete without its connection stays so; what ends with it can't be told from a complete answer.
        if (length == wire.text.length && case.framing != AnswerFraming.CLOSE) completeBodies += wholeBody(name)
        val looksComplete = case.framing == AnswerFraming.CLOSE && case.mutation == Mutation.CUT_AND_CLOSE && length >= wire.headLength
        if (looksComplete && (!case.route.isStream || endsBetweenEvents(sent))) completeBodies += sent
        end()
    }

    private fun sendRefusalWithoutId(
        wire: Wire,
        socket: Socket,
    ) {
        val refusal = "X-Not-Run: 1\r\n"
        if (case.isRefused) sendRefusal(socket, refusal) else socket.write(refusal(refusal) + wire.text)
    }

    /** Refuses the request, which must not have run. */
    private fun sendRefusal(
        socket: Socket,
        headers: String = OWN_REFUSAL,
    ) {
        socket.write(refusal(headers))
        if (case.mutation == Mutation.REFUSAL_REPEATED_LATE) repeating += socket
    }

    private fun sendRepeated(
        name: String,
        wire: Wire,
        socket: Socket,
    ) {
        // Without a length nothing shows where a plain answer ends and its copy begins.
        completeBodies += if (case.framing == AnswerFraming.CLOSE && !case.route.isStream) wholeBody(name) + wire.text else wholeBody(name)
        socket.write(wire.text + wire.text)
    }

    private fun sendRepeatedWithin(
        name: String,
        wire: Wire,
        socket: Socket,
    ) {
        if (!case.route.isStream || case.framing != AnswerFraming.CLOSE) return sendWhole(name, wire, socket)
        val kept = case.allEvents.take(1 + case.cut * (case.events - 1) / 1000).joinToString("")
        socket.write(wire.text.take(wire.headLength) + kept + wire.text)
    }

    /** Sends the answer with its first chunk changed by [spoil]; an answer without chunks is sent as it is. */
    private fun sendMalformedChunk(
        name: String,
        wire: Wire,
        socket: Socket,
        spoil: (String) -> String,
    ) {
        if (case.framing != AnswerFraming.CHUNKS) return sendWhole(name, wire, socket)
        wire.packets.forEachIndexed { index, packet -> socket.write(if (index == 1) spoil(packet) else packet) }
    }

    private fun sendNext(
        name: String,
        request: ReceivedRequest,
        socket: Socket,
    ) {
        val wire = wire(name, case.route, request, case.framing)
        if (case.next != NextServer.REFUSAL) run(CASE_ID)
        when (case.next) {
            NextServer.SOUND -> sendWhole(name, wire, socket)
            NextServer.ERROR -> socket.write(head(name, CASE_ID, "Content-Length: 5\r\n", "500 Failed") + "error")
            NextServer.REFUSAL -> socket.write(refusal(OWN_REFUSAL))
            NextServer.NO_STREAM -> sendNoStream(name, socket)
            NextServer.NO_CONTENT -> socket.write(head(name, CASE_ID, "", "204 No Content"))
            NextServer.LATE_START -> sendFrom(name, request, socket, offset = 1)
            NextServer.EARLY_START -> sendFrom(name, request, socket, offset = -1)
            NextServer.CUT -> socket.write(wire.text.take(wire.headLength - 2))
            NextServer.CUT_AFTER_HEAD -> sendHead(wire, socket)
            NextServer.ANSWER_TO_OTHER -> socket.write(head(name, EARLIER_ID, "Content-Length: 5\r\n") + "other")
        }
        if (case.next in CLOSING || case.framing == AnswerFraming.CLOSE) socket.close()
    }

    private fun sendHead(
        wire: Wire,
        socket: Socket,
    ) {
        if (case.framing == AnswerFraming.CLOSE && !case.route.isStream) completeBodies += ""
        socket.write(wire.text.take(wire.headLength))
    }

    private fun sendNoStream(
        name: String,
        socket: Socket,
    ) {
        completeBodies += "plain"
        socket.write(head(name, CASE_ID, "Content-Length: 5\r\n") + "plain")
    }

    /** Sends the events after the last one that the request names, moved by [offset]. */
    private fun sendFrom(
        name: String,
        request: ReceivedRequest,
        socket: Socket,
        offset: Int,
    ) {
        val last = request.header("Last-Event-ID")?.toInt()
        // With one event at the caller, nothing tells how far apart ids are; without any, the answer stands by itself.
        val events = case.allEvents.drop(((last ?: 0) + offset).coerceAtLeast(0))
        if (last == null || events.isEmpty()) completeBodies += if (last == null) events.joinToString("") else wholeBody(name)
        if (last == 1 && offset > 0) completeBodies += case.allEvents.first() + events.joinToString("")
        if (last != null && events.isEmpty()) completeBodies += case.allEvents.take(last).joinToString("")
        if (!case.route.isStream) completeBodies += wholeBody(name)
        val body = if (case.route.isStream) events.joinToString("") else wholeBody(name)
        socket.write(head(name, CASE_ID, "${contentType()}Content-Length: ${body.length}\r\n") + body)
    }

    private fun wholeBody(name: String): String = if (case.route.isStream) case.allEvents.joinToString("") else "body of $name"

    private fun endsBetweenEvents(sent: String) =
        (1..case.events).any { case.allEvents.take(it).joinToString("") == sent }

    private fun run(id: String) = runs.merge(id, 1, Int::plus)

    private fun contentType() = if (case.route.isStream) "Content-Type: text/event-stream\r\n" else ""

    private fun wire(
        name: String,
        route: CaseRoute,
        request: ReceivedRequest,
        framing: AnswerFraming,
    ): Wire {
        val after = request.header("Last-Event-ID")?.toInt() ?: 0
        val parts =
            if (route.isStream) {
                case.allEvents.drop(after).chunked(case.eventsPerPacket).map { it.joinToString("") }
            } else {
                listOf(wholeBody(name))
            }
        return when (framing) {
            AnswerFraming.LENGTH -> {
                Wire(head(name, CASE_ID, "${contentType()}Content-Length: ${parts.sumOf { it.length }}\r\n"), parts)
            }
            AnswerFraming.CLOSE -> {
                Wire(head(name, CASE_ID, contentType()), parts)
            }
            AnswerFraming.CHUNKS -> {
                val chunks = parts.map { "${it.length.toString(16)}\r\n$it\r\n" } + "0\r\n\r\n"
                Wire(head(name, CASE_ID, "${contentType()}Transfer-Encoding: chunked\r\n"), chunks)
            }
        }
    }

    private fun head(
        name: String,
        id: String,
        framing: String,
        status: String = "200 OK",
    ) = "HTTP/1.1 $status\r\nX-Request-Id: $id\r\nX-Answer-Signature: $name\r\n$framing\r\n"

    private fun refusal(
        headers: String,
        status: String = "503 Full",
    ) = "HTTP/1.1 $status\r\n${headers}Content-Length: 0\r\n\r\n"

    /** An answer as it is sent. */
    private class Wire(
        head: String,
        parts: List<String>,
    ) {
        val headLength = head.length
        val packets = listOf(head) + parts
        val text = packets.joinToString("")
    }

    companion object {
        const val CASE_ID = "id-case"
        const val EARLIER_ID = "id-0"
        private const val OWN_REFUSAL = "X-Request-Id: $CASE_ID\r\nX-Not-Run: 1\r\n"
        private val CLOSING = setOf(NextServer.CUT, NextServer.CUT_AFTER_HEAD)
    }
}
