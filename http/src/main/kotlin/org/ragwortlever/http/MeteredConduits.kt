// Conduits that account for the bytes of a client connection.
package org.ragwortlever.http

import org.xnio.channels.StreamSinkChannel
import org.xnio.channels.StreamSourceChannel
import org.xnio.conduits.AbstractStreamSinkConduit
import org.xnio.conduits.AbstractStreamSourceConduit
import org.xnio.conduits.StreamSinkConduit
import org.xnio.conduits.StreamSourceConduit
import java.nio.ByteBuffer
import java.nio.channels.FileChannel

/** @throws IntakeExceededException from a read of more bytes than the connection may send. */
internal class MeteredSourceConduit(
    next: StreamSourceConduit,
    private val state: ClientConnectionState,
) : AbstractStreamSourceConduit<StreamSourceConduit>(next) {
    override fun read(target: ByteBuffer): Int = super.read(target).also { record(it.toLong()) }

    override fun read(
        targets: Array<ByteBuffer>,
        offset: Int,
        length: Int,
    ): Long = super.read(targets, offset, length).also(::record)

    override fun transferTo(
        position: Long,
        count: Long,
        target: FileChannel,
    ): Long = super.transferTo(position, count, target).also(::record)

    override fun transferTo(
        count: Long,
        throughBuffer: ByteBuffer,
        target: StreamSinkChannel,
    ): Long = super.transferTo(count, throughBuffer, target).also(::record)

    private fun record(count: Long) {
        if (count > 0) state.recordRead(count)
    }
}

internal class MeteredSinkConduit(
    next: StreamSinkConduit,
    private val state: ClientConnectionState,
) : AbstractStreamSinkConduit<StreamSinkConduit>(next) {
    override fun write(source: ByteBuffer): Int = super.write(source).also { record(it.toLong(), source.hasRemaining()) }

    override fun write(
        sources: Array<ByteBuffer>,
        offset: Int,
        length: Int,
    ): Long = super.write(sources, offset, length).also { record(it, sources.haveRemaining(offset, length)) }

    override fun writeFinal(source: ByteBuffer): Int = super.writeFinal(source).also { record(it.toLong(), source.hasRemaining()) }

    override fun writeFinal(
        sources: Array<ByteBuffer>,
        offset: Int,
        length: Int,
    ): Long = super.writeFinal(sources, offset, length).also { record(it, sources.haveRemaining(offset, length)) }

    override fun transferFrom(
        source: FileChannel,
        position: Long,
        count: Long,
    ): Long = super.transferFrom(source, position, count).also { record(it, isBlocked = it < count) }

    override fun transferFrom(
        source: StreamSourceChannel,
        count: Long,
        throughBuffer: ByteBuffer,
    ): Long = super.transferFrom(source, count, throughBuffer).also { record(it, throughBuffer.hasRemaining()) }

    private fun record(
        count: Long,
        isBlocked: Boolean,
    ) = if (isBlocked) state.recordBlockedWrite(maxOf(0, count)) else state.recordFullWrite()
}

private fun Array<ByteBuffer>.haveRemaining(
    offset: Int,
    length: Int,
): Boolean = (offset until offset + length).any { this[it].hasRemaining() }
