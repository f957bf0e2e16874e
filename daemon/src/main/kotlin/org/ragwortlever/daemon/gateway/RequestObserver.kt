// Interface to usage records and metrics of routed requests.
package org.ragwortlever.daemon.gateway

import kotlin.time.Duration

/** Receives events of requests for usage records and metrics. Called from traffic threads. */
interface RequestObserver {
    /** A backend server has started to respond to a request of [account]; called once per request. */
    fun onStarted(account: String?)

    /**
     * The response to a request on [route] is complete.
     *
     * @param route name of the route; empty if the request was refused before a route was found.
     * @param timeToFirstByte time from the request's arrival to the response's first byte.
     * @param duration time from the request's arrival to the response's end.
     */
    fun onResponse(
        route: String,
        status: Int,
        timeToFirstByte: Duration,
        duration: Duration,
    )
}
