package io.apricotslip.core.prompt

/** The start of a prompt, by which engines cache; the entry VM and the owner must hash it alike. */
internal object PromptPrefix {
    private const val CHARS = 64

    /** Hash of the start of [prompt]. */
    fun hash(prompt: String): Long = prompt.take(CHARS).hashCode().toLong()
}
