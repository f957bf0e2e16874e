/*
 * Checks an element tree against the structure of a serializable class before decoding: unknown fields, missing fields
 * and values of the wrong type. Reports every fault with line and path; the decoder would stop at the first fault and
 * report no line.
 */
package org.ragwortlever.core.json

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Parses [text] and decodes it with [serializer]. The error lists every structural fault. */
fun <T> decodeChecked(
    text: String,
    serializer: KSerializer<T>,
): Result<Pair<T, LocatedJson>, List<DocumentError>> {
    val located = LocatedJson.parse(text).getOrElse { return Err(listOf(it)) }
    return located.decodeChecked(serializer).map { it to located }
}

/** Decodes this document without the top-level members in [ignored]. The error lists every structural fault. */
fun <T> LocatedJson.decodeChecked(
    serializer: KSerializer<T>,
    ignored: Set<String> = emptySet(),
): Result<T, List<DocumentError>> {
    val content = root.let { if (it is JsonObject) JsonObject(it - ignored) else it }
    val faults = ShapeCheck(this).check(content, serializer.descriptor)
    if (faults.isNotEmpty()) return Err(faults)
    return try {
        Ok(Json.decodeFromJsonElement(serializer, content))
    } catch (failure: SerializationException) {
        Err(listOf(errorAt("$", failure.message.orEmpty().lineSequence().first())))
    }
}

private class ShapeCheck(
    private val located: LocatedJson,
) {
    private val faults = ArrayList<DocumentError>()

    fun check(
        content: JsonElement,
        descriptor: SerialDescriptor,
    ): List<DocumentError> {
        checkValue(content, descriptor, "$")
        return faults
    }

    private fun checkValue(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element is JsonNull) {
            if (!descriptor.isNullable) fault(path, "must not be null")
            return
        }
        when (val kind = descriptor.kind) {
            StructureKind.CLASS -> checkObject(element, descriptor, path)
            StructureKind.MAP -> checkMap(element, descriptor, path)
            StructureKind.LIST -> checkList(element, descriptor, path)
            SerialKind.ENUM -> checkEnumeration(element, descriptor, path)
            is PrimitiveKind -> checkPrimitive(element, kind, path)
            else -> if (descriptor.isInline) checkValue(element, descriptor.getElementDescriptor(0), path)
        }
    }

    private fun checkObject(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element !is JsonObject) return fault(path, "must be an object")
        val known = descriptor.elementNames.toList()
        element.keys.filter { it !in known }.forEach { name ->
            fault(path.child(name), "unknown field; known fields here are ${known.joinToString()}")
        }
        known.forEachIndexed { index, name ->
            val member = element[name]
            when {
                member != null -> checkValue(member, descriptor.getElementDescriptor(index), path.child(name))
                !descriptor.isElementOptional(index) -> fault(path, "the field $name is missing")
            }
        }
    }

    private fun checkMap(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element !is JsonObject) return fault(path, "must be an object")
        val valueDescriptor = descriptor.getElementDescriptor(1)
        element.forEach { (name, value) -> checkValue(value, valueDescriptor, path.child(name)) }
    }

    private fun checkList(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        if (element !is JsonArray) return fault(path, "must be a list")
        val itemDescriptor = descriptor.elementDescriptors.first()
        element.forEachIndexed { index, item -> checkValue(item, itemDescriptor, path.child(index)) }
    }

    private fun checkEnumeration(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        val names = descriptor.elementNames.toList()
        if (element is JsonPrimitive && element.isString && element.content in names) return
        fault(path, "must be one of ${names.joinToString()}")
    }

    private fun checkPrimitive(
        element: JsonElement,
        kind: PrimitiveKind,
        path: String,
    ) {
        val wanted = kind.expectation()
        if (element !is JsonPrimitive || !element.matches(kind)) fault(path, "must be $wanted")
    }

    private fun fault(
        path: String,
        rule: String,
    ) {
        faults += located.errorAt(path, rule)
    }
}

private fun PrimitiveKind.expectation(): String =
    when (this) {
        PrimitiveKind.STRING, PrimitiveKind.CHAR -> "a string"
        PrimitiveKind.BOOLEAN -> "true or false"
        PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> "a number"
        else -> "a whole number"
    }

private fun JsonPrimitive.matches(kind: PrimitiveKind): Boolean =
    when (kind) {
        PrimitiveKind.STRING, PrimitiveKind.CHAR -> isString
        PrimitiveKind.BOOLEAN -> !isString && content in setOf("true", "false")
        PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT -> !isString && content.toDoubleOrNull() != null
        PrimitiveKind.INT -> !isString && content.toIntOrNull() != null
        else -> !isString && content.toLongOrNull() != null
    }
