package org.ragwortlever.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class RequestFramingTest {
    @Test
    fun `given one length or plain chunks, then the end of the body is clear`() {
        expectThat(isFramingAmbiguous(emptyList(), emptyList())).isFalse()
        expectThat(isFramingAmbiguous(listOf("12"), emptyList())).isFalse()
        expectThat(isFramingAmbiguous(emptyList(), listOf("Chunked"))).isFalse()
    }

    @Test
    fun `given a length beside an encoding, two lengths or an odd encoding, then it is not`() {
        expectThat(isFramingAmbiguous(listOf("12"), listOf("chunked"))).isTrue()
        expectThat(isFramingAmbiguous(listOf("12", "12"), emptyList())).isTrue()
        expectThat(isFramingAmbiguous(listOf("+12"), emptyList())).isTrue()
        expectThat(isFramingAmbiguous(listOf("12, 12"), emptyList())).isTrue()
        expectThat(isFramingAmbiguous(emptyList(), listOf("chunked", "chunked"))).isTrue()
        expectThat(isFramingAmbiguous(emptyList(), listOf("gzip, chunked"))).isTrue()
    }
}
