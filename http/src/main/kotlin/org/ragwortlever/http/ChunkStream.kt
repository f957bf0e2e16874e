// An input stream that produces its content chunk by chunk while it is read, so that a response is never held whole in memory.
package org.ragwortlever.http

import java.io.InputStream

/** Reads the chunks that [nextChunk] returns as one stream. Not thread-safe. */
abstract class ChunkStream : InputStream() {
    private var chunk = ByteArray(0)
    private var position = 0

    /**
     * Returns the next chunk, or null at the end of the stream; may block.
     *
     * @throws java.io.IOException if there is no next chunk because of a failure; the reader of the stream gets it.
     */
    protected abstract fun nextChunk(): ByteArray?

    final override fun read(): Int {
        val single = ByteArray(1)
        return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
    }

    final override fun read(
        target: ByteArray,
        offset: Int,
        length: Int,
    ): Int {
        while (position == chunk.size) {
            chunk = nextChunk() ?: return -1
            position = 0
        }
        val count = minOf(length, chunk.size - position)
        chunk.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
