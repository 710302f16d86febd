package io.apricotslip.rules.engine

/** Decides which idle adapter is evicted first. */
public enum class EvictionPolicy {
    /** The adapter with the lowest exponentially decayed request count. */
    POPULARITY,

    /** The least recently used adapter (LRU); a baseline for comparisons. */
    LEAST_RECENTLY_USED,
}
