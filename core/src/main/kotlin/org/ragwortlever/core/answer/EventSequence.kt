/*
 * Checks the ids of a stream's events, which rise from event to event. Another server that continues the stream has to
 * begin after the last event that the caller has.
 */
package org.ragwortlever.core.answer

/** Ids of the events of one stream, over all servers that send a part of it. Not thread-safe. */
class EventSequence {
    /** Id of the last event that had one; null before that. */
    var lastId: String? = null
        private set

    /** Largest difference between the ids of two consecutive events of one server; null until two are known. */
    private var largestStep: Long? = null
    private var isContinued = false

    /** From now on the events come from another server that was asked to continue after [lastId]. */
    fun continueFromOtherServer() {
        isContinued = true
    }

    /**
     * Records [ids] as those of the next events, null for an event without an id.
     *
     * @return what is wrong with them, in which case nothing is recorded; null if the events can follow.
     */
    fun append(ids: List<String?>): String? {
        val next = copy()
        ids.forEach { id -> next.appendOne(id)?.let { return it } }
        lastId = next.lastId
        largestStep = next.largestStep
        isContinued = next.isContinued
        return null
    }

    private fun copy() =
        EventSequence().also {
            it.lastId = lastId
            it.largestStep = largestStep
            it.isContinued = isContinued
        }

    private fun appendOne(id: String?): String? {
        if (id == null) return if (isContinued) "the first event of the continuation has no id" else null
        val last = lastId
        if (last != null) {
            if (id == last) return "event $id comes twice"
            findNumericFault(last, id)?.let { return it }
        }
        lastId = id
        isContinued = false
        return null
    }

    /** Compares ids that are whole numbers; nothing is known of the order of others. */
    private fun findNumericFault(
        last: String,
        id: String,
    ): String? {
        val step = (id.toLongOrNull() ?: return null) - (last.toLongOrNull() ?: return null)
        if (step <= 0) return "event $id comes after event $last"
        val known = largestStep
        if (!isContinued) largestStep = maxOf(step, known ?: step)
        return if (isContinued && known != null && step > known) "events between $last and $id are missing" else null
    }
}
