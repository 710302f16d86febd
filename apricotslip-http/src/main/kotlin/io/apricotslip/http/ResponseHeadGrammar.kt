package io.apricotslip.http

/**
 * What RFC 9110 and RFC 9112 allow in the head of a response. Each check throws [MalformedHeadException].
 *
 * Netty checks the fields. Two leniencies of RFC 9112 are kept: blanks and tabs, however many, may separate the
 * words of a status line, and a value may be folded. A status line may lack the blank after its status.
 */
internal object ResponseHeadGrammar {
    private const val NOT_ASCII = 0x80
    private const val MAX_QUOTED_LENGTH = 60
    private val STATUS_CODE = Regex("[1-5][0-9]{2}")
    private val VERSIONS = setOf("HTTP/1.0", "HTTP/1.1")

    /** Checks the words of a status line. A [status] outside of 100 to 599 is invalid (RFC 9110, section 15). */
    fun checkStatusLine(version: String, status: String, reason: String) {
        if (version !in VERSIONS) throw MalformedHeadException("version ${quote(version)}")
        if (!STATUS_CODE.matches(status)) throw MalformedHeadException("status ${quote(status)}")
        if (!reason.all(::isReasonCharacter)) throw MalformedHeadException("reason phrase ${quote(reason)}")
    }

    private fun isReasonCharacter(character: Char) =
        character in ' '..'~' || character == '\t' || character.code >= NOT_ASCII

    /** Quotes [text] so that it can stand in a line of a log. */
    private fun quote(text: String): String {
        val escaped = text.take(MAX_QUOTED_LENGTH)
            .map { if (it in ' '..'~' && it != '"') "$it" else "\\x%02x".format(it.code) }
        return escaped.joinToString("", prefix = "'", postfix = if (text.length > MAX_QUOTED_LENGTH) "...'" else "'")
    }
}
