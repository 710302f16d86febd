package io.apricotslip.safety

import com.github.michaelbull.result.fold
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.api.manifest.ManifestFault
import io.apricotslip.api.manifest.ManifestText

/** What became of an offered manifest. */
public sealed class ManifestDecision {
    /** [manifest] is in force now. */
    public data class Activated(public val manifest: Manifest) : ManifestDecision()

    /** Its revision is not higher than that in force. */
    public data object NotNewer : ManifestDecision()

    /** Not valid; the one in force stays. */
    public data class Refused(public val faults: List<ManifestFault>) : ManifestDecision()
}

/**
 * A manifest in force.
 *
 * @property text as it was offered; passed on to peers.
 * @property source the platform or the peer that offered it.
 * @property activeSince nanoseconds of the monotonic clock.
 */
public data class ActiveManifest(
    public val manifest: Manifest,
    public val text: String,
    public val source: String,
    public val activeSince: Long,
)

/** A manifest that was refused at [refusedAt] (nanoseconds of the monotonic clock). */
public data class ManifestRefusal(
    public val publishedRevision: Long,
    public val source: String,
    public val faults: List<ManifestFault>,
    public val refusedAt: Long,
)

/**
 * The manifest in force at one VM. It takes only valid ones with a higher revision than the one it has, so it never
 * goes back. Not thread-safe.
 *
 * @param maxRefused refused manifests to remember, newest first.
 */
public class ManifestStore(private val maxRefused: Int = DEFAULT_MAX_REFUSED) {
    private val refusedOffers = ArrayDeque<ManifestRefusal>()

    /** The manifest in force, or null before the first. */
    public var active: ActiveManifest? = null
        private set

    /** The last refused manifests, newest first; one offered again and again counts once. */
    public val refused: List<ManifestRefusal> get() = refusedOffers.toList()

    /** Revision in force, or 0 before the first. */
    public val revision: ManifestRevision get() = active?.manifest?.revision ?: ManifestRevision(0)

    /**
     * Judges [text], which [source] published or passed on as [publishedRevision]. Validity depends on the text alone;
     * the revision that counts is the one in the text.
     */
    public fun offer(text: String, publishedRevision: Long, source: String, now: Long): ManifestDecision {
        if (text == active?.text) return ManifestDecision.NotNewer
        return ManifestText.read(text).fold(
            success = { adopt(it, text, source, now) },
            failure = { refuse(it, publishedRevision, source, now) },
        )
    }

    private fun adopt(manifest: Manifest, text: String, source: String, now: Long): ManifestDecision {
        if (manifest.revision <= revision) return ManifestDecision.NotNewer
        active = ActiveManifest(manifest, text, source, now)
        return ManifestDecision.Activated(manifest)
    }

    private fun refuse(faults: List<ManifestFault>, published: Long, source: String, now: Long): ManifestDecision {
        val known = refusedOffers.any { it.publishedRevision == published && it.faults == faults }
        if (!known) refusedOffers.addFirst(ManifestRefusal(published, source, faults, now))
        if (refusedOffers.size > maxRefused) refusedOffers.removeLast()
        return ManifestDecision.Refused(faults)
    }

    private companion object {
        const val DEFAULT_MAX_REFUSED = 16
    }
}
