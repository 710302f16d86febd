package io.apricotslip.http

/**
 * What RFC 9110 and RFC 9112 allow in the head of a response. Each check throws [MalformedHeadException].
 *
 * Netty checks the values of fields. Two leniencies of RFC 9112 are kept: blanks and tabs, however many, may stand
 * before a status line and between its words, and a value may be folded. A status line may lack the blank after its
 * status.
 */
internal object ResponseHeadGrammar {
    private const val NOT_ASCII = 0x80
    private const val MAX_QUOTED_LENGTH = 60
    private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
    private const val COLON = ':'.code.toByte()
    private val STATUS_CODE = Regex("[1-5][0-9]{2}")
    private val VERSIONS = setOf("HTTP/1.0", "HTTP/1.1")
    private val TOKEN_CHARACTERS = BooleanArray(NOT_ASCII) {
        val character = it.toChar()
        character in '0'..'9' || character in 'a'..'z' || character in 'A'..'Z' || character in TOKEN_SYMBOLS
    }

    /** Checks the words of a status line. A [status] outside of 100 to 599 is invalid (RFC 9110, section 15). */
    fun checkStatusLine(version: String, status: String) {
        if (version !in VERSIONS) throw MalformedHeadException("version ${quote(version)}")
        if (!STATUS_CODE.matches(status)) throw MalformedHeadException("status ${quote(status)}")
    }

    /**
     * Checks the name of a field: the [length] bytes of [line] from [start], which the parser takes for the name, must
     * be a token and the colon must follow at once.
     */
    fun checkFieldName(line: ByteArray, start: Int, length: Int) {
        val end = start + length
        if (length == 0) throw MalformedHeadException("field without a name")
        for (i in start until end) {
            if (!isTokenByte(line[i])) throw MalformedHeadException("field name ${quote(line, start, length)}")
        }
        if (line.getOrNull(end) != COLON) {
            throw MalformedHeadException("field name ${quote(line, start, length)} that no colon follows")
        }
    }

    /** The fault of a head that holds the control byte [byte]. */
    fun controlByte(byte: Byte): MalformedHeadException =
        MalformedHeadException("control byte ${quote(byte.toInt().toChar().toString())}")

    private fun isTokenByte(byte: Byte) = byte >= 0 && TOKEN_CHARACTERS[byte.toInt()]

    private fun quote(line: ByteArray, start: Int, length: Int) =
        quote(String(line, start, length, Charsets.ISO_8859_1))

    /** Quotes [text] so that it can stand in a line of a log. */
    private fun quote(text: String): String {
        val escaped = text.take(MAX_QUOTED_LENGTH)
            .map { if (it in ' '..'~' && it != '"') "$it" else "\\x%02x".format(it.code) }
        return escaped.joinToString("", prefix = "'", postfix = if (text.length > MAX_QUOTED_LENGTH) "...'" else "'")
    }
}
