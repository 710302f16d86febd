package io.apricotslip.core.manifest

import io.apricotslip.api.manifest.ManifestFault

/** A published text that did not come into force. [at] is in nanoseconds of the loop's clock. */
internal data class RefusedOffer(
    val publishedRevision: Long,
    val source: String,
    val at: Long,
    val faults: List<ManifestFault>,
)
