package io.apricotslip.api.json

import kotlinx.serialization.json.JsonPrimitive

/** A JSON value with its position in the text. */
internal sealed class LocatedJson {
    abstract val position: JsonPosition

    data class Scalar(override val position: JsonPosition, val value: JsonPrimitive) : LocatedJson()

    data class Array(override val position: JsonPosition, val items: List<LocatedJson>) : LocatedJson()

    data class Object(override val position: JsonPosition, val members: List<Member>) : LocatedJson()

    /** One key of an object and its value; [position] is that of the key. */
    data class Member(val name: String, val position: JsonPosition, val value: LocatedJson)
}
