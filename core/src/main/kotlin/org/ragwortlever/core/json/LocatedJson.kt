/*
 * Parses JSON with comments into an element tree and records the line of each JSON path, so that later checks can
 * report line and path. Comments, trailing commas and a byte order mark are accepted, duplicate names are rejected.
 */
package org.ragwortlever.core.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.json.JsonReadFeature
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * An error in a document.
 *
 * @property line line of the error, counted from 1.
 * @property path JSON path of the error, for example `$.classes.bench.tier`.
 * @property rule the rule that the document violates there.
 */
data class DocumentError(
    val line: Int,
    val path: String,
    val rule: String,
) {
    override fun toString(): String = "line $line: $path: $rule"
}

/** A parsed JSON document with the line of each path. */
class LocatedJson internal constructor(
    val root: JsonElement,
    private val lines: Map<String, Int>,
) {
    /** Returns the line of [path], or of its nearest known ancestor. */
    fun lineOf(path: String): Int {
        var current = path
        while (current.isNotEmpty()) {
            lines[current]?.let { return it }
            current = current.substring(0, maxOf(current.lastIndexOf('.'), current.lastIndexOf('['), 0))
        }
        return 1
    }

    /** Creates an error at [path] of this document. */
    fun errorAt(
        path: String,
        rule: String,
    ): DocumentError = DocumentError(lineOf(path), path, rule)

    companion object {
        private val factory: JsonFactory =
            JsonFactory
                .builder()
                .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                .build()

        /** Parses [text]. The error names the line and the path of the first syntax error. */
        fun parse(text: String): Result<LocatedJson, DocumentError> {
            val reader = TreeReader(factory.createParser(text))
            return try {
                Ok(reader.readDocument())
            } catch (failure: JsonProcessingException) {
                Err(DocumentError(failure.location?.lineNr ?: 1, reader.path, failure.originalMessage))
            }
        }
    }
}

/** Returns the JSON path of the member [name] of the object at this path. */
fun String.child(name: String): String = "$this.$name"

/** Returns the JSON path of the element [index] of the array at this path. */
fun String.child(index: Int): String = "$this[$index]"

private class TreeReader(
    private val parser: JsonParser,
) {
    private val lines = HashMap<String, Int>()
    var path: String = "$"
        private set

    fun readDocument(): LocatedJson {
        parser.nextToken() ?: throw parseError("the document is empty")
        val root = readValue("$")
        path = "$"
        parser.nextToken()?.let { throw parseError("unexpected content after the end of the document") }
        return LocatedJson(root, lines)
    }

    private fun readValue(at: String): JsonElement {
        path = at
        lines.putIfAbsent(at, parser.currentLocation().lineNr)
        return when (parser.currentToken()) {
            JsonToken.START_OBJECT -> readObject(at)
            JsonToken.START_ARRAY -> readArray(at)
            JsonToken.VALUE_STRING -> JsonPrimitive(parser.text)
            JsonToken.VALUE_NUMBER_INT -> JsonPrimitive(parser.bigIntegerValue)
            JsonToken.VALUE_NUMBER_FLOAT -> JsonPrimitive(parser.decimalValue)
            JsonToken.VALUE_TRUE -> JsonPrimitive(true)
            JsonToken.VALUE_FALSE -> JsonPrimitive(false)
            JsonToken.VALUE_NULL -> JsonNull
            else -> throw parseError("unexpected token ${parser.currentToken()}")
        }
    }

    private fun readObject(at: String): JsonObject {
        val members = LinkedHashMap<String, JsonElement>()
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            val name = parser.currentName()
            path = at.child(name)
            if (name in members) throw parseError("duplicate field")
            lines[at.child(name)] = parser.currentLocation().lineNr
            parser.nextToken()
            members[name] = readValue(at.child(name))
            path = at
        }
        return JsonObject(members)
    }

    private fun readArray(at: String): JsonArray {
        val elements = ArrayList<JsonElement>()
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements += readValue(at.child(elements.size))
            path = at
        }
        return JsonArray(elements)
    }

    private fun parseError(message: String) = com.fasterxml.jackson.core.JsonParseException(parser, message)
}
