package io.apricotslip.serving.published

/**
 * A place in the history of the platform's store.
 *
 * The store may come back from a copy. Its revisions then go back and are given out again for other changes, so that
 * revisions of two eras say nothing about which change is newer.
 *
 * @property era number of times that this node saw the store's revisions start anew.
 * @property revision the store's count of changes within the era.
 */
public data class StorePosition(public val era: Long, public val revision: Long) {
    override fun toString(): String = "$era.$revision"
}
