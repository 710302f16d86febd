package io.apricotslip.serving.fleet

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.ModelId

/** What a request needs from an engine: a base model ([adapter] is null) or one of the model's adapters. */
public data class ServedAdapter(public val model: ModelId, public val adapter: AdapterId?) {
    override fun toString(): String = if (adapter == null) model.value else "$model/$adapter"

    public companion object {
        /** Parses `model` or `model/adapter`. */
        public fun parse(text: String): ServedAdapter {
            val slash = text.indexOf('/')
            if (slash < 0) return ServedAdapter(ModelId(text), null)
            return ServedAdapter(ModelId(text.substring(0, slash)), AdapterId(text.substring(slash + 1)))
        }
    }
}
