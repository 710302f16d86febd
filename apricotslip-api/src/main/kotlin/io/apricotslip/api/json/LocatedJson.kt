package io.apricotslip.api.json

import kotlinx.serialization.json.JsonPrimitive

/** A JSON value with its place in the text. */
internal sealed class LocatedJson {
    abstract val place: JsonPlace

    data class Scalar(override val place: JsonPlace, val value: JsonPrimitive) : LocatedJson()

    data class Array(override val place: JsonPlace, val items: List<LocatedJson>) : LocatedJson()

    data class Object(override val place: JsonPlace, val members: List<Member>) : LocatedJson()

    /** One key of an object and its value; [place] is that of the key. */
    data class Member(val name: String, val place: JsonPlace, val value: LocatedJson)
}
