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

/** Parses JSON with comments and trailing commas, keeping the position of each value. */
internal object LocatedJsonParser {
    private val factory: JsonFactory =
        JsonFactory
            .builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build()

    fun parse(text: String): Result<LocatedJson, JsonFault> {
        if (text.isBlank()) return Err(JsonFault("1:1", "the text is empty", JsonPosition(1, 1)))
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
        val position = parser.currentTokenLocation().toPosition()
        return when (parser.currentToken()) {
            JsonToken.START_OBJECT -> LocatedJson.Object(position, members(parser))
            JsonToken.START_ARRAY -> LocatedJson.Array(position, items(parser))
            JsonToken.VALUE_STRING -> LocatedJson.Scalar(position, JsonPrimitive(parser.text))
            JsonToken.VALUE_NUMBER_INT -> LocatedJson.Scalar(position, JsonPrimitive(parser.bigIntegerValue))
            JsonToken.VALUE_NUMBER_FLOAT -> LocatedJson.Scalar(position, JsonPrimitive(parser.decimalValue))
            JsonToken.VALUE_TRUE -> LocatedJson.Scalar(position, JsonPrimitive(true))
            JsonToken.VALUE_FALSE -> LocatedJson.Scalar(position, JsonPrimitive(false))
            JsonToken.VALUE_NULL -> LocatedJson.Scalar(position, JsonNull)
            else -> throw parser.unexpected("a value is expected here")
        }
    }

    private fun members(parser: JsonParser): List<LocatedJson.Member> = buildList {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            val name = parser.currentName()
            val position = parser.currentTokenLocation().toPosition()
            parser.nextToken()
            add(LocatedJson.Member(name, position, value(parser)))
        }
    }

    private fun items(parser: JsonParser): List<LocatedJson> = buildList {
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            add(value(parser))
        }
    }

    private fun JsonParser.unexpected(message: String) =
        com.fasterxml.jackson.core.JsonParseException(this, message, currentTokenLocation())

    private fun JsonLocation.toPosition() = JsonPosition(lineNr, columnNr)

    private fun syntaxFault(text: String, e: JsonProcessingException): JsonFault {
        val position = position(text, e.location)
        return JsonFault(position.toString(), e.originalMessage.lineSequence().first(), position)
    }

    /** Position of the first character of an invalid word; the parser reports the position after the word. */
    private fun position(text: String, location: JsonLocation?): JsonPosition {
        val end = location?.charOffset?.toInt()?.coerceIn(0, text.length) ?: return JsonPosition(1, 1)
        var start = end
        while (start > 0 && text[start - 1].isLetterOrDigit()) start--
        val lineStart = text.lastIndexOf('\n', start - 1) + 1
        return JsonPosition(text.substring(0, start).count { it == '\n' } + 1, start - lineStart + 1)
    }
}
