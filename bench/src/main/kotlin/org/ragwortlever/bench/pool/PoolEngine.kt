/*
 * A model engine in virtual time: it works in steps, reads prompts in chunks between the tokens of running answers,
 * shares its memory between running requests and cached parts, admits and preempts by urgency.
 */
package org.ragwortlever.bench.pool

import org.ragwortlever.bench.simulation.EventQueue

/** One attempt as an engine runs it. */
internal class EngineJob(
    val request: PoolRequest,
    val vm: Int,
    val attempt: Int,
    val deadlineSeconds: Double,
) {
    var unread = 0
    var made = 0
    var isRunning = false
    val tier: Int get() = request.kind.route.tier

    /** Whether the parts of the prompt are cached, where they yield only when no running job uses them. */
    var isCached = false

    /** Memory that the job takes for itself, all of its answer included. */
    val tokens: Int get() = (if (isCached) 0 else request.kind.tail) + request.kind.answerTokens
}

internal interface EngineListener {
    fun firstToken(job: EngineJob)

    fun completed(job: EngineJob)

    /** The engine crashed under [job]. */
    fun broke(job: EngineJob)
}

internal class PoolEngine(
    val id: String,
    val zone: String,
    private val queue: EventQueue,
    private val listener: EngineListener,
    private val memoryTokens: Int = PoolLoad.ENGINE_TOKENS,
) {
    private val cached = LinkedHashMap<String, Int>(16, 0.75f, true)
    private var cachedTokens = 0
    private val waiting = ArrayList<EngineJob>()
    private val running = ArrayList<EngineJob>()
    private var stepping = false
    private var generation = 0
    var isUp = true
        private set

    /** Factor on the time of a step. */
    var slowness = 1.0

    /** Seconds in which the engine read prompts, and shared tokens that it read. */
    var readSeconds = 0.0
        private set
    var sharedTokensRead = 0L
        private set

    fun accept(job: EngineJob) {
        waiting += job
        if (!stepping) step()
    }

    fun cancel(job: EngineJob) {
        waiting.remove(job)
        running.remove(job)
    }

    fun crash() {
        isUp = false
        generation++
        stepping = false
        val lost = running + waiting
        running.clear()
        waiting.clear()
        cached.clear()
        cachedTokens = 0
        lost.forEach(listener::broke)
    }

    fun restart() {
        isUp = true
    }

    private fun step() {
        drop()
        admit()
        if (running.isEmpty()) {
            stepping = false
            return
        }
        stepping = true
        val writers = running.filter { it.unread == 0 }
        val read = readChunk()
        val seconds = (STEP_SECONDS + writers.size * SECONDS_PER_WRITER + read / TOKENS_PER_SECOND) * slowness
        readSeconds += read / TOKENS_PER_SECOND
        val begunIn = generation
        queue.after(seconds) {
            if (begunIn == generation) {
                write(writers)
                step()
            }
        }
    }

    /** Engines stop working on requests whose time is over. */
    private fun drop() {
        val over = { job: EngineJob -> queue.seconds > job.deadlineSeconds }
        waiting.removeAll(over)
        running.removeAll(over)
    }

    private fun admit() {
        waiting.sortWith(compareBy<EngineJob> { it.tier }.thenBy { it.request.number })
        while (waiting.isNotEmpty() && running.size < PoolLoad.ENGINE_SLOTS) {
            val next = waiting.first()
            if (held() + inUseTokens() + next.tokens > memoryTokens && !preemptFor(next)) return
            waiting.removeAt(0)
            begin(next)
        }
    }

    /** Takes the memory of the newest of the least urgent requests; false when none is less urgent than [job]. */
    private fun preemptFor(job: EngineJob): Boolean {
        val victim =
            running.filter { it.tier > job.tier }.maxByOrNull { it.tier * memoryTokens + it.request.number } ?: return false
        running.remove(victim)
        waiting += victim
        victim.isCached = false
        return held() + inUseTokens() + job.tokens <= memoryTokens
    }

    private fun held() = running.sumOf { it.tokens }

    private fun partsInUse() = running.filter { it.isCached }.flatMapTo(HashSet()) { job -> job.request.parts.map { it.id } }

    private fun inUseTokens() = partsInUse().sumOf { cached[it] ?: 0 }

    private fun begin(job: EngineJob) {
        val parts = job.request.parts
        val known = parts.takeWhile { cached[it.id] != null }
        job.unread = maxOf(1, parts.drop(known.size).sumOf { it.tokens } + job.made)
        job.isRunning = true
        sharedTokensRead += parts.dropLast(1).drop(known.size).sumOf { it.tokens }
        running += job
    }

    private fun readChunk(): Int {
        var left = CHUNK_TOKENS
        running.filter { it.unread > 0 }.forEach { job ->
            val count = minOf(left, job.unread)
            job.unread -= count
            left -= count
            if (job.unread == 0) keep(job)
        }
        return CHUNK_TOKENS - left
    }

    private fun keep(job: EngineJob) {
        job.request.parts.forEach { part -> if (cached.put(part.id, part.tokens) == null) cachedTokens += part.tokens }
        job.isCached = true
        val inUse = partsInUse()
        val oldest = cached.entries.iterator()
        while (cachedTokens + held() > memoryTokens && oldest.hasNext()) {
            val part = oldest.next()
            if (part.key in inUse) continue
            cachedTokens -= part.value
            oldest.remove()
        }
    }

    private fun write(writers: List<EngineJob>) {
        val begun = running.filter { it.unread == 0 && it.made == 0 && it !in writers }
        begun.forEach { job ->
            job.made = 1
            listener.firstToken(job)
        }
        writers.filter { it in running }.forEach { job ->
            if (++job.made >= job.request.kind.answerTokens) {
                running.remove(job)
                listener.completed(job)
            }
        }
    }

    private companion object {
        const val STEP_SECONDS = 0.00347
        const val SECONDS_PER_WRITER = 0.0001
        const val TOKENS_PER_SECOND = 36_100.0
        const val CHUNK_TOKENS = 2048
    }
}
