package io.apricotslip.core.prompt

/** Prefix of a prompt, by which engines cache prompts. The entry VM and the owner must compute the same hash. */
internal object PromptPrefix {
    private const val PREFIX_CHARS = 64

    /** Returns the hash of the first [PREFIX_CHARS] characters of [prompt]. */
    fun hash(prompt: String): Long = prompt.take(PREFIX_CHARS).hashCode().toLong()
}
