// Carries events from traffic threads to the dispatcher on the control thread, and its effects back.
package org.ragwortlever.daemon.gateway

import org.ragwortlever.core.dispatch.DispatchEffect
import org.ragwortlever.core.dispatch.DispatchEvent
import org.ragwortlever.core.dispatch.Dispatcher
import org.ragwortlever.core.dispatch.RoutedRequest
import org.ragwortlever.daemon.control.ControlLoop
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import kotlin.time.Clock

/** A request's place at the dispatcher: its decisions arrive here in order. */
internal class DispatchTicket(
    val request: RoutedRequest,
) {
    private val decisions = LinkedBlockingQueue<DispatchEffect.Decision>()

    fun awaitDecision(): DispatchEffect.Decision = decisions.take()

    fun decided(decision: DispatchEffect.Decision) = decisions.add(decision)
}

/** Runs [dispatcher] on [control]; [onCrash] takes what other entry VMs must learn. */
internal class DispatchGateway(
    private val control: ControlLoop,
    private val dispatcher: Dispatcher,
    private val clock: Clock,
    private val onCrash: (DispatchEffect.ReportCrash) -> Unit,
) {
    private val tickets = ConcurrentHashMap<Long, DispatchTicket>()

    fun submit(request: RoutedRequest): DispatchTicket {
        val ticket = DispatchTicket(request)
        tickets[request.key] = ticket
        post(DispatchEvent.Submit(request))
        return ticket
    }

    /** Ends the ticket; the dispatcher forgets what is left of the request. */
    fun release(ticket: DispatchTicket) {
        if (tickets.remove(ticket.request.key) != null) post(DispatchEvent.CallerGone(ticket.request.key))
    }

    fun post(event: DispatchEvent) = control.post { dispatcher.handle(event, clock.now()).forEach(::execute) }

    private fun execute(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Decision -> tickets[effect.key]?.decided(effect)
            is DispatchEffect.ReportCrash -> onCrash(effect)
        }
    }
}
