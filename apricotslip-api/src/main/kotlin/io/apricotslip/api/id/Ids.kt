package io.apricotslip.api.id

import kotlinx.serialization.Serializable

/** Name of one of the system's own VMs, unique in the fleet. Source: the list of VMs. */
@Serializable
@JvmInline
public value class VmId(public val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Incarnation of the process on a VM; a restarted process chooses a new number. Source: the process itself. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** Name of an availability zone. Source: the settings of the process. */
@Serializable
@JvmInline
public value class ZoneId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a backend server, unique in the manifest. */
@Serializable
@JvmInline
public value class BackendServerId(public val value: String) : Comparable<BackendServerId> {
    override fun compareTo(other: BackendServerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a base model, unique in the manifest. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Name of an adapter, unique in the manifest. */
@Serializable
@JvmInline
public value class AdapterId(public val value: String) : Comparable<AdapterId> {
    override fun compareTo(other: AdapterId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Version of one adapter. */
@Serializable
@JvmInline
public value class VersionId(public val value: String) : Comparable<VersionId> {
    override fun compareTo(other: VersionId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a customer. Source: the caller's request. */
@Serializable
@JvmInline
public value class CustomerId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a plain service, such as booking, to which the system routes requests in addition to the engines. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/**
 * Version of the software that a backend server runs; versions have no order. Source: the server's entry in the store.
 */
@Serializable
@JvmInline
public value class SoftwareVersion(public val value: String) {
    override fun toString(): String = value
}

/** Name of one request, unique in the fleet; it also identifies the request's stream on the engine. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Revision of a published manifest; a higher one is newer. */
@Serializable
@JvmInline
public value class ManifestRevision(public val value: Long) : Comparable<ManifestRevision> {
    override fun compareTo(other: ManifestRevision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Revision of a published list of VMs; a higher one is newer. */
@Serializable
@JvmInline
public value class ListRevision(public val value: Long) : Comparable<ListRevision> {
    override fun compareTo(other: ListRevision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Fencing token of an order to a backend server; it never decreases for a given backend server. */
@Serializable
@JvmInline
public value class FenceNumber(public val value: Long) : Comparable<FenceNumber> {
    override fun compareTo(other: FenceNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** One version of one adapter: the unit that a caller requests and that occupies an adapter slot. */
@Serializable
public data class AdapterVersion(public val adapter: AdapterId, public val version: VersionId) :
    Comparable<AdapterVersion> {
    override fun compareTo(other: AdapterVersion): Int =
        compareValuesBy(this, other, AdapterVersion::adapter, AdapterVersion::version)

    override fun toString(): String = "$adapter@$version"

    public companion object {
        /** Parses `adapter@version`; returns null when either part is missing or empty. */
        public fun parse(text: String): AdapterVersion? {
            val at = text.lastIndexOf('@')
            if (at <= 0 || at == text.length - 1) return null
            return AdapterVersion(AdapterId(text.substring(0, at)), VersionId(text.substring(at + 1)))
        }
    }
}

/**
 * A part of a prompt, such as a system prompt or a document that several requests share. A prompt is a sequence of
 * parts.
 */
@Serializable
@JvmInline
public value class PromptPartId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a workspace: a customer, or a part of one, whose requests are identified by its API keys. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) {
    override fun toString(): String = value
}
