package io.apricotslip.safety

import com.github.michaelbull.result.fold
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.api.manifest.ManifestFault
import io.apricotslip.api.manifest.ManifestText

/** Result of offering a manifest to [ManifestStore]. */
public sealed class ManifestDecision {
    /** [manifest] is now the active one. */
    public data class Activated(public val manifest: Manifest) : ManifestDecision()

    /** Its revision is not higher than the active one. */
    public data object NotNewer : ManifestDecision()

    /** It is invalid; the active manifest stays. */
    public data class Refused(public val faults: List<ManifestFault>) : ManifestDecision()
}

/**
 * The active manifest of a VM and where it came from.
 *
 * @property text the text as offered, which is forwarded to peers unchanged.
 * @property source the platform, or the peer that offered it.
 * @property activeSince when it became active, in nanoseconds of the monotonic clock.
 */
public data class ActiveManifest(
    public val manifest: Manifest,
    public val text: String,
    public val source: String,
    public val activeSince: Long,
)

/**
 * An invalid manifest that was refused.
 *
 * @property refusedAt when it was first refused, in nanoseconds of the monotonic clock.
 */
public data class ManifestRefusal(
    public val publishedRevision: Long,
    public val source: String,
    public val faults: List<ManifestFault>,
    public val refusedAt: Long,
)

/**
 * Holds the active manifest of one VM and the last refused ones. It accepts only valid manifests with a higher revision
 * than the active one, so the revision never decreases. Not thread-safe.
 *
 * @param maxRefused maximum number of refused manifests to keep.
 */
public class ManifestStore(private val maxRefused: Int = DEFAULT_MAX_REFUSED) {
    private val refusals = ArrayDeque<ManifestRefusal>()

    /** The active manifest, or null before the first. */
    public var active: ActiveManifest? = null
        private set

    /** The last refused manifests, newest first; a manifest offered repeatedly is listed once. */
    public val refused: List<ManifestRefusal> get() = refusals.toList()

    /** Revision of the active manifest, or 0 before the first. */
    public val revision: ManifestRevision get() = active?.manifest?.revision ?: ManifestRevision(0)

    /**
     * Validates [text], which [source] published or forwarded as [publishedRevision], and activates it if its revision
     * is higher. Validity depends on the text alone; the revision that counts is the one in the text.
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
        val alreadyListed = refusals.any { it.publishedRevision == published && it.faults == faults }
        if (!alreadyListed) refusals.addFirst(ManifestRefusal(published, source, faults, now))
        if (refusals.size > maxRefused) refusals.removeLast()
        return ManifestDecision.Refused(faults)
    }

    private companion object {
        const val DEFAULT_MAX_REFUSED = 16
    }
}
