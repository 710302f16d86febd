package io.apricotslip.rules.engine

/** Which idle adapter is evicted first. */
public enum class EvictionPolicy {
    /** The one with the lowest decayed count of requests. */
    POPULARITY,

    /** The one that was used longest ago; a baseline. */
    LEAST_RECENTLY_USED,
}
