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

/** Checks that JSON has the fields and types of a serializable class. */
internal object JsonStructureValidator {
    /** Returns a fault with its path for each unknown, missing or mistyped field of [element]. */
    fun validate(
        descriptor: SerialDescriptor,
        element: JsonElement,
        path: String = "$",
    ): List<DocumentFault> {
        val type = if (descriptor.isInline) descriptor.getElementDescriptor(0) else descriptor
        return if (type.kind ==
            StructureKind.CLASS
        ) {
            validateObject(type, element, path)
        } else {
            validateValue(type, element, path)
        }
    }

    private fun validateObject(
        type: SerialDescriptor,
        element: JsonElement,
        path: String,
    ): List<DocumentFault> {
        if (element !is JsonObject) return listOf(DocumentFault(path, "must be an object"))
        val fieldNames = type.elementNames.toList()
        val unknownFaults =
            (element.keys - fieldNames.toSet()).map { key ->
                DocumentFault("$path.$key", "unknown field; allowed fields are ${fieldNames.joinToString()}")
            }
        val fieldFaults =
            fieldNames.flatMapIndexed { index, name ->
                validateField(type, index, element[name], "$path.$name")
            }
        return unknownFaults + fieldFaults
    }

    private fun validateField(
        type: SerialDescriptor,
        index: Int,
        value: JsonElement?,
        path: String,
    ): List<DocumentFault> {
        val fieldType = type.elementDescriptors.elementAt(index)
        if (value != null) return validate(fieldType, value, path)
        return if (type.isElementOptional(index)) emptyList() else listOf(DocumentFault(path, "missing required field"))
    }

    private fun validateValue(
        type: SerialDescriptor,
        element: JsonElement,
        path: String,
    ): List<DocumentFault> {
        val expected = describeType(type.kind)
        val matches = element is JsonPrimitive && matchesKind(type.kind, element)
        return if (matches) emptyList() else listOf(DocumentFault(path, "must be $expected"))
    }

    private fun matchesKind(
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

    private fun describeType(kind: SerialKind): String =
        when (kind) {
            PrimitiveKind.STRING -> "a string"
            PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
            PrimitiveKind.DOUBLE -> "a number"
            PrimitiveKind.BOOLEAN -> "true or false"
            else -> "of another type"
        }
}
