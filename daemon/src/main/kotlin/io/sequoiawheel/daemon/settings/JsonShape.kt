package io.sequoiawheel.daemon.settings

import io.sequoiawheel.core.model.DocumentFault
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** Compares JSON with the fields and types of a serializable class, and names every difference by its path. */
internal object JsonShape {
    /** Returns every unknown, missing or wrongly typed field of [element]. */
    fun check(
        descriptor: SerialDescriptor,
        element: JsonElement,
        path: String = "$",
    ): List<DocumentFault> {
        val type = if (descriptor.isInline) descriptor.getElementDescriptor(0) else descriptor
        return if (type.kind ==
            StructureKind.CLASS
        ) {
            checkObject(type, element, path)
        } else {
            checkValue(type, element, path)
        }
    }

    private fun checkObject(
        type: SerialDescriptor,
        element: JsonElement,
        path: String,
    ): List<DocumentFault> {
        if (element !is JsonObject) return listOf(DocumentFault(path, "must be an object"))
        val names = type.elementNames.toList()
        val unknown =
            (element.keys - names.toSet()).map { key ->
                DocumentFault("$path.$key", "unknown field; allowed are ${names.joinToString()}")
            }
        val known =
            names.flatMapIndexed { index, name ->
                checkField(type, index, element[name], "$path.$name")
            }
        return unknown + known
    }

    private fun checkField(
        type: SerialDescriptor,
        index: Int,
        value: JsonElement?,
        path: String,
    ): List<DocumentFault> {
        val fieldType = type.elementDescriptors.elementAt(index)
        if (value != null) return check(fieldType, value, path)
        return if (type.isElementOptional(index)) emptyList() else listOf(DocumentFault(path, "missing field"))
    }

    private fun checkValue(
        type: SerialDescriptor,
        element: JsonElement,
        path: String,
    ): List<DocumentFault> {
        val expected = expectation(type.kind)
        val fits = element is JsonPrimitive && fits(type.kind, element)
        return if (fits) emptyList() else listOf(DocumentFault(path, "must be $expected"))
    }

    private fun fits(
        kind: SerialKind,
        value: JsonPrimitive,
    ): Boolean =
        when (kind) {
            PrimitiveKind.STRING -> value.isString
            PrimitiveKind.INT -> !value.isString && value.intOrNull != null
            PrimitiveKind.LONG -> !value.isString && value.longOrNull != null
            PrimitiveKind.DOUBLE -> !value.isString && value.doubleOrNull != null
            PrimitiveKind.BOOLEAN -> !value.isString && value.booleanOrNull != null
            else -> false
        }

    private fun expectation(kind: SerialKind): String =
        when (kind) {
            PrimitiveKind.STRING -> "a string"
            PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
            PrimitiveKind.DOUBLE -> "a number"
            PrimitiveKind.BOOLEAN -> "true or false"
            else -> "of another type"
        }
}
