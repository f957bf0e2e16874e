package org.ragwortlever.daemon.platform

import com.github.michaelbull.result.getError
import okhttp3.OkHttpClient
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.Write
import org.ragwortlever.daemon.caller.CompletionPart
import org.ragwortlever.daemon.caller.UpstreamCall
import org.ragwortlever.http.UndertowServer
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

class IncompleteAnswerTest {
    @Volatile
    private var body = ""
    private val server = UndertowServer("127.0.0.1", 0).toServer { Response(Status.OK).body(body) }.start()
    private val address = "http://127.0.0.1:${server.port()}"
    private val store = EtcdStore(address, OkHttpClient())

    @AfterEach
    fun close() {
        server.stop()
    }

    // Guards against an answer without content that reads as "no keys", as "not written" or as "the lease has ended".
    @Test
    fun `given a store whose answer lacks its content, when it is called, then the outcome is unknown`() {
        for (text in listOf("", "{}", "[]", "no json", """{"header":{}}""", """{"header":7,"result":7,"ID":{}}""")) {
            body = text
            val transaction = Transaction(listOf(Condition.Absent("x")), listOf(Write.Put("x", "v", 9)))
            val failures =
                listOf(store.read("k"), store.readPrefix("p"), store.commit(transaction), store.grantLease(3.seconds), store.keepAlive(9))
            failures.forEach { expectThat(it.getError()).describedAs(text).isNotNull().isA<StoreFailure.NoAnswer>() }
        }
    }

    // Guards against an unexpected error in the thread that reads the list of VMs.
    @Test
    fun `given a list of VMs that can't be read, when it is asked for, then that is a failure`() {
        for (text in listOf("", "{}", "[{}]", "[")) {
            body = text
            expectThat(VirtualMachineList(address, OkHttpClient()).read().getError()).describedAs(text).isNotNull()
        }
    }

    // Guards against an unexpected error that ends a completion in place of its retry on another server.
    @Test
    fun `given an engine that sends an event that is no completion chunk, when it is read, then the attempt fails`() {
        for (event in listOf("7", "[]", """{"choices":7}""", """{"choices":[7]}""", """{"choices":[{"delta":7}]}""", "{")) {
            body = "data: $event\n\n"
            UpstreamCall(OkHttpClient(), address, "{}").use { call -> expectThrows<IOException> { call.next() } }
        }
    }

    // Guards against a text that is passed on although the event with it was cut.
    @Test
    fun `given a completion without its end, when it is read, then it fails after the last whole text`() {
        body = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"con"
        UpstreamCall(OkHttpClient(), address, "{}").use { call ->
            expectThat(call.next()).isEqualTo(CompletionPart.Text("a"))
            expectThrows<IOException> { call.next() }
        }
    }
}
