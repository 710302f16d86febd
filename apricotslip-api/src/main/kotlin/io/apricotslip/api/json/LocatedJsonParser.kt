package io.apricotslip.api.json

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonLocation
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.json.JsonReadFeature
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive

/** Parses JSON with comments and trailing commas, keeping the place of each value. */
internal object LocatedJsonParser {
    private val factory: JsonFactory =
        JsonFactory
            .builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build()

    fun parse(text: String): Result<LocatedJson, JsonFault> {
        if (text.isBlank()) return Err(JsonFault("1:1", "the text is empty", JsonPlace(1, 1)))
        return try {
            Ok(factory.createParser(text).use(::document))
        } catch (e: JsonProcessingException) {
            Err(syntaxFault(text, e))
        }
    }

    private fun document(parser: JsonParser): LocatedJson {
        parser.nextToken()
        val root = value(parser)
        if (parser.nextToken() != null) throw parser.unexpected("only one value is allowed")
        return root
    }

    private fun value(parser: JsonParser): LocatedJson {
        val place = parser.currentTokenLocation().toPlace()
        return when (parser.currentToken()) {
            JsonToken.START_OBJECT -> LocatedJson.Object(place, members(parser))
            JsonToken.START_ARRAY -> LocatedJson.Array(place, items(parser))
            JsonToken.VALUE_STRING -> LocatedJson.Scalar(place, JsonPrimitive(parser.text))
            JsonToken.VALUE_NUMBER_INT -> LocatedJson.Scalar(place, JsonPrimitive(parser.bigIntegerValue))
            JsonToken.VALUE_NUMBER_FLOAT -> LocatedJson.Scalar(place, JsonPrimitive(parser.decimalValue))
            JsonToken.VALUE_TRUE -> LocatedJson.Scalar(place, JsonPrimitive(true))
            JsonToken.VALUE_FALSE -> LocatedJson.Scalar(place, JsonPrimitive(false))
            JsonToken.VALUE_NULL -> LocatedJson.Scalar(place, JsonNull)
            else -> throw parser.unexpected("a value is expected here")
        }
    }

    private fun members(parser: JsonParser): List<LocatedJson.Member> = buildList {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            val name = parser.currentName()
            val place = parser.currentTokenLocation().toPlace()
            parser.nextToken()
            add(LocatedJson.Member(name, place, value(parser)))
        }
    }

    private fun items(parser: JsonParser): List<LocatedJson> = buildList {
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            add(value(parser))
        }
    }

    private fun JsonParser.unexpected(message: String) =
        com.fasterxml.jackson.core.JsonParseException(this, message, currentTokenLocation())

    private fun JsonLocation.toPlace() = JsonPlace(lineNr, columnNr)

    private fun syntaxFault(text: String, e: JsonProcessingException): JsonFault {
        val place = place(text, e.location)
        return JsonFault(place.toString(), e.originalMessage.lineSequence().first(), place)
    }

    /** The parser stops after a wrong word; people look for its first letter. */
    private fun place(text: String, location: JsonLocation?): JsonPlace {
        val end = location?.charOffset?.toInt()?.coerceIn(0, text.length) ?: return JsonPlace(1, 1)
        var start = end
        while (start > 0 && text[start - 1].isLetterOrDigit()) start--
        val lineStart = text.lastIndexOf('\n', start - 1) + 1
        return JsonPlace(text.substring(0, start).count { it == '\n' } + 1, start - lineStart + 1)
    }
}
