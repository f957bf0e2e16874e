// Collects one line of a response's framing.
package org.ragwortlever.http

/** The bytes of a line before its line feed. Not thread-safe; its owner bounds the number of bytes. */
internal class FramingLine {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var size = 0

    fun append(byte: Byte) {
        if (size == bytes.size) bytes = bytes.copyOf(2 * size)
        bytes[size++] = byte
    }

    /** Returns the line without its line feed and begins the next one. */
    fun take(): String {
        val text = String(bytes, 0, size, Charsets.ISO_8859_1)
        size = 0
        if (bytes.size > MAX_KEPT_BYTES) bytes = ByteArray(INITIAL_BYTES)
        return text
    }

    private companion object {
        const val INITIAL_BYTES = 128
        const val MAX_KEPT_BYTES = 1024
    }
}
