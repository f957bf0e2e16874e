package org.ragwortlever.http

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class BodyFramingTest {
    @Test
    fun `given at most one length or only chunked encoding, when the framing is checked, then it is unambiguous`() {
        expectThat(isFramingAmbiguous(emptyList(), emptyList())).isFalse()
        expectThat(isFramingAmbiguous(listOf("12"), emptyList())).isFalse()
        expectThat(isFramingAmbiguous(emptyList(), listOf("Chunked"))).isFalse()
    }

    @Test
    fun `given a length with an encoding, two or malformed lengths or another encoding, when checked, then it is ambiguous`() {
        expectThat(isFramingAmbiguous(listOf("12"), listOf("chunked"))).isTrue()
        expectThat(isFramingAmbiguous(listOf("12", "12"), emptyList())).isTrue()
        expectThat(isFramingAmbiguous(listOf("+12"), emptyList())).isTrue()
        expectThat(isFramingAmbiguous(listOf("12, 12"), emptyList())).isTrue()
        expectThat(isFramingAmbiguous(emptyList(), listOf("chunked", "chunked"))).isTrue()
        expectThat(isFramingAmbiguous(emptyList(), listOf("gzip, chunked"))).isTrue()
    }
}
