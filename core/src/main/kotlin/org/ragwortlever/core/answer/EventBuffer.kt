/*
 * Splits the bytes of a stream into complete server-sent events. An event ends with an empty line; lines end with LF,
 * CRLF or CR.
 */
package org.ragwortlever.core.answer

/**
 * Complete events of a stream.
 *
 * @property bytes the events and the empty lines between them, as the server sent them.
 * @property ids values of the events' `id` fields, in order; null for an event without one.
 */
class CompleteEvents(
    val bytes: ByteArray,
    val ids: List<String?>,
)

/** Holds back the bytes after the last complete event of a stream. Not thread-safe. */
class EventBuffer {
    private var bytes = ByteArray(INITIAL_BYTES)

    /** Number of bytes after the last complete event. */
    var size: Int = 0
        private set

    /** Offset of the first byte that has not been examined; bytes before it are not examined again. */
    private var position = 0
    private var lineStart = 0
    private var hasFields = false
    private var eventId: String? = null

    /** Whether a line of this stream has ended with a CR without LF. */
    private var hasCarriageReturnLines = false

    /** Whether the bytes after the last complete event belong to another event; line ends between events do not. */
    val hasPartialEvent: Boolean get() = (0 until size).any { bytes[it] != LINE_FEED && bytes[it] != CARRIAGE_RETURN }

    /** Appends the first [count] bytes of [source] and returns the events that are complete now; null if none is. */
    fun append(
        source: ByteArray,
        count: Int,
    ): CompleteEvents? {
        if (size + count > bytes.size) bytes = bytes.copyOf(maxOf(size + count, 2 * bytes.size))
        source.copyInto(bytes, size, 0, count)
        size += count
        val ids = ArrayList<String?>()
        var end = 0
        while (true) {
            val lineEnd = findLineEnd() ?: break
            if (lineEnd > lineStart) {
                examineField(lineEnd)
            } else {
                if (hasFields) ids += eventId
                hasFields = false
                eventId = null
                end = position
            }
            lineStart = position
        }
        return if (end == 0) null else CompleteEvents(take(end), ids)
    }

    /** Moves [position] behind the next line end and returns the end of the line before it; null if there is none yet. */
    private fun findLineEnd(): Int? {
        while (position < size) {
            val width = lineEndWidth() ?: return null
            position += maxOf(width, 1)
            if (width > 0) return position - width
        }
        return null
    }

    /** Length of the line end at [position], 0 if there is none; null if a CR may be the first half of a CRLF. */
    private fun lineEndWidth(): Int? =
        when (bytes[position]) {
            LINE_FEED -> 1
            CARRIAGE_RETURN -> carriageReturnWidth()
            else -> 0
        }

    private fun carriageReturnWidth(): Int? {
        if (position + 1 == size) return if (hasCarriageReturnLines) 1 else null
        if (bytes[position + 1] == LINE_FEED) return 2
        hasCarriageReturnLines = true
        return 1
    }

    private fun examineField(lineEnd: Int) {
        hasFields = true
        if (lineEnd - lineStart < ID_FIELD.length) return
        val line = String(bytes, lineStart, lineEnd - lineStart, Charsets.UTF_8)
        if (line.startsWith(ID_FIELD)) eventId = line.removePrefix(ID_FIELD).trim()
    }

    /** Removes and returns the first [end] bytes. */
    private fun take(end: Int): ByteArray {
        val taken = bytes.copyOf(end)
        bytes.copyInto(bytes, 0, end, size)
        size -= end
        position -= end
        lineStart -= end
        return taken
    }

    private companion object {
        const val INITIAL_BYTES = 1024
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
