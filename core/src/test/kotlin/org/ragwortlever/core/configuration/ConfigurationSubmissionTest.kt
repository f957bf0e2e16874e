package org.ragwortlever.core.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.nio.file.Path
import kotlin.io.path.readText

class ConfigurationSubmissionTest {
    /** A single fault: [replacement] takes the place of [line] of [VALID], and the error must name [path]. */
    private data class Fault(
        val name: String,
        val line: Int,
        val replacement: String,
        val path: String,
    )

    private val faults =
        listOf(
            Fault("a missing comma", 3, "\"models\": {\"m\": {\"contextTokens\": 1}}", "$"),
            Fault("an unknown section", 3, "\"modells\": {},", "$.modells"),
            Fault("an unknown field", 2, "\"zones\": {\"a\": {\"region\": \"r\", \"colour\": 1}},", "$.zones.a.colour"),
            Fault("a missing field", 2, "\"zones\": {\"a\": {}},", "$.zones.a"),
            Fault("a string for a number", 3, "\"models\": {\"m\": {\"contextTokens\": \"1\"}},", "$.models.m.contextTokens"),
            Fault("a fraction for a whole number", 3, "\"models\": {\"m\": {\"contextTokens\": 1.5}},", "$.models.m.contextTokens"),
            Fault("a list for an object", 2, "\"zones\": [],", "$.zones"),
            Fault("a null", 3, "\"models\": {\"m\": null},", "$.models.m"),
            Fault("an unknown state", 2, "\"zones\": {\"a\": {\"region\": \"r\", \"state\": \"gone\"}},", "$.zones.a.state"),
            Fault("a duplicate entry", 2, "\"zones\": {\"a\": {\"region\": \"r\"}, \"a\": {\"region\": \"r\"}},", "$.zones.a"),
            Fault("a tier out of range", 4, classLine("\"tier\": 6"), "$.classes.c.tier"),
            Fault("a share above one", 4, classLine("\"tier\": 1, \"minimumShare\": 1.1"), "$.classes.c.minimumShare"),
            Fault("shares with a sum above the limit", 4, classLine("\"tier\": 1, \"minimumShare\": 0.9"), "$.classes"),
            Fault("an account with an unknown class", 5, accountLine("c2"), "$.accounts.x.classes[0]"),
            Fault("a key of an unknown account", 6, keyLine("y", "0".repeat(64)), "$.keys.k.account"),
            Fault("a key in place of its hash", 6, keyLine("x", "rwl_secret"), "$.keys.k.sha256"),
            Fault("a server in an unknown zone", 7, serverLine("\"zone\": \"b\", \"maxConcurrency\": 1"), "$.backendServers.s.zone"),
            Fault(
                "a server without concurrency",
                7,
                serverLine("\"zone\": \"a\", \"maxConcurrency\": 0"),
                "$.backendServers.s.maxConcurrency",
            ),
            Fault("a revision that is not a number", 8, "\"\$revisions\": {\"zones\": \"1\"}", "$.\$revisions.zones"),
        )

    // Guards against accepting a faulty document, and against an error that does not name the place of the fault.
    @TestFactory
    fun `given a document with one fault, when it is parsed, then the error names its line and path`(): List<DynamicTest> =
        faults.map { fault ->
            dynamicTest(fault.name) {
                val text = VALID.toMutableList().apply { this[fault.line - 1] = fault.replacement }.joinToString("\n")
                expectThat(parseConfiguration(text).getError()).isNotNull().any {
                    get { path }.isEqualTo(fault.path)
                    // The parser detects a missing comma at the next token, which is on the next line.
                    get { line }.isEqualTo(if (fault.name == "a missing comma") fault.line + 1 else fault.line)
                }
            }
        }

    @Test
    fun `given a document without a fault, when it is parsed, then it is accepted`() {
        expectThat(parseConfiguration(VALID.joinToString("\n")).get()).isNotNull()
    }

    @TestFactory
    fun `given the example deployments, when they are parsed, then they are valid`(): List<DynamicTest> =
        listOf("kijiti", "association").map { name ->
            dynamicTest(name) {
                val text = Path.of("..", "examples", "$name.jsonc").readText()
                expectThat(parseConfiguration(text).getError()).isEqualTo(null)
            }
        }

    private companion object {
        fun classLine(fields: String) =
            "\"classes\": {\"c\": {$fields, \"firstTokenTargetSeconds\": 1, \"tokenGapTargetSeconds\": 1, \"waitSeconds\": 1}},"

        fun accountLine(requestClass: String) = "\"accounts\": {\"x\": {\"defaultClass\": \"c\", \"classes\": [\"$requestClass\", \"c\"]}},"

        fun keyLine(
            account: String,
            hash: String,
        ) = "\"keys\": {\"k\": {\"account\": \"$account\", \"sha256\": \"$hash\"}},"

        fun serverLine(fields: String) = "\"backendServers\": {\"s\": {\"address\": \"http://10.0.0.1:1\", \"models\": [\"m\"], $fields}},"

        val VALID =
            listOf(
                "{",
                "\"zones\": {\"a\": {\"region\": \"r\"}},",
                "\"models\": {\"m\": {\"contextTokens\": 1}}, // comment",
                classLine("\"tier\": 1, \"minimumShare\": 0.1"),
                accountLine("c"),
                keyLine("x", "0".repeat(64)),
                serverLine("\"zone\": \"a\", \"maxConcurrency\": 1"),
                "\"\$revisions\": {\"zones\": 1}",
                "}",
            )
    }
}
