package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerAnnouncements.Change

/** Applies what servers say about themselves in their answers, and logs what changes. */
internal class AnnouncementRecorder(private val log: DecisionLog, private val now: () -> Long) {
    /** Applies the announcement in [head], which [server] sent in answer to [requestId], or to a call if it is null. */
    fun record(server: Server, head: ServerResponseMetadata, requestId: String? = null) {
        for (header in head.unreadable) {
            log.write { "event=header_unreadable request=$requestId server=${server.id} header=\"$header\"" }
        }
        val announcement = head.announcement(server.id) ?: return
        for (change in server.announcements.record(announcement, now())) {
            val detail = when (change) {
                Change.LEAVING -> "event=server_leaving request=$requestId server=${server.id} status=${head.status}"
                Change.PAUSED ->
                    "event=server_paused request=$requestId server=${server.id} status=${head.status} " +
                        "millis=${announcement.pauseMillis}"
                Change.LIMIT ->
                    "event=limit_changed request=$requestId server=${server.id} " +
                        "per_second=${announcement.maxRequestsPerSecond}"
                Change.BRITTLE ->
                    "event=brittle_changed request=$requestId server=${server.id} " +
                        "rejections_per_second=${announcement.maxRejectionsPerSecond}"
            }
            log.write { detail }
        }
    }
}
