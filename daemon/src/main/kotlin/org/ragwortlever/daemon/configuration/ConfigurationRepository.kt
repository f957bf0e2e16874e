/*
 * Reads the configuration from the store and puts changed sections with compare-and-swap. The head record orders
 * all puts: a put is validated against the other sections at the head that it read, and is validated and tried
 * again when another section has changed in the meantime.
 */
package org.ragwortlever.daemon.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import org.ragwortlever.core.configuration.ConfigurationChange
import org.ragwortlever.core.configuration.ConfigurationDocument
import org.ragwortlever.core.configuration.ConfigurationHead
import org.ragwortlever.core.configuration.ConfigurationKeys
import org.ragwortlever.core.configuration.RuleViolation
import org.ragwortlever.core.configuration.SectionHead
import org.ragwortlever.core.configuration.diffSection
import org.ragwortlever.core.configuration.shardOf
import org.ragwortlever.core.configuration.validate
import org.ragwortlever.core.store.Condition
import org.ragwortlever.core.store.StoreFailure
import org.ragwortlever.core.store.Transaction
import org.ragwortlever.core.store.TransactionResult
import org.ragwortlever.core.store.Write
import org.ragwortlever.daemon.platform.KeyValueStore
import kotlin.time.Instant

/** One revision of the configuration, with its sections as JSON. */
data class StoredConfiguration(
    val head: ConfigurationHead,
    val sections: Map<String, Map<String, JsonElement>>,
) {
    /** The sections as a typed document. */
    fun document(): ConfigurationDocument = Json.decodeFromJsonElement(JsonObject(sections.mapValues { JsonObject(it.value) }))
}

/** A change of some sections, each against the revision that its author has seen. */
data class ConfigurationPut(
    val author: String,
    val sections: Map<String, Map<String, JsonElement>>,
    val expectedRevisions: Map<String, Long>,
)

/** Why a put is refused; nothing has changed then, except perhaps after [NoAnswer]. */
sealed interface PutFailure {
    data class Conflict(
        val section: String,
        val current: SectionHead,
    ) : PutFailure

    data class Invalid(
        val broken: List<RuleViolation>,
    ) : PutFailure

    data class Store(
        val failure: StoreFailure,
    ) : PutFailure

    /** Too many other puts at the same time. */
    data object Contention : PutFailure
}

/** [onAccepted] gets the text of each change record that a put through this process has committed. */
class ConfigurationRepository(
    private val store: KeyValueStore,
    private val onAccepted: (revision: Long, text: String) -> Unit = { _, _ -> },
) {
    /** The newest configuration; the empty one before the first put. */
    fun load(): Result<StoredConfiguration, StoreFailure> = loadVersioned().map { it.configuration }

    /** Reads the sections between two reads of the head, so that all of them belong to one revision. */
    private fun loadVersioned(): Result<VersionedConfiguration, StoreFailure> {
        repeat(LOAD_ATTEMPTS) {
            val before = loadHead().getOrElse { return Err(it) }
            val read = store.readPrefix(ConfigurationKeys.SECTIONS_PREFIX).getOrElse { return Err(it) }
            val after = loadHead().getOrElse { return Err(it) }
            if (before.head.revision == after.head.revision) {
                val sections =
                    read.entries
                        .groupBy { it.key.removePrefix(ConfigurationKeys.SECTIONS_PREFIX).substringBefore('/') }
                        .mapValues { (_, shards) -> shards.map { Json.decodeFromString<JsonObject>(it.value) }.merged() }
                return Ok(VersionedConfiguration(StoredConfiguration(before.head, sections), before.condition))
            }
        }
        return Err(StoreFailure.NoAnswer("the configuration changed during each of $LOAD_ATTEMPTS reads"))
    }

    /** Puts [put] and returns the new head. */
    fun put(
        put: ConfigurationPut,
        now: Instant,
    ): Result<ConfigurationHead, PutFailure> {
        repeat(PUT_ATTEMPTS) {
            val (current, headCondition) = loadVersioned().getOrElse { return Err(PutFailure.Store(it)) }
            put.firstConflict(current.head)?.let { return Err(it) }
            val next = StoredConfiguration(put.nextHead(current.head, now), current.sections + put.sections)
            val broken = validate(next.document())
            if (broken.isNotEmpty()) return Err(PutFailure.Invalid(broken))
            val transaction = transaction(put, current, next, headCondition)
            val result = store.commit(transaction).getOrElse { failure -> return resolveLostAnswer(next.head, put, failure) }
            if (result is TransactionResult.Committed) {
                onAccepted(next.head.revision, transaction.changeText(next.head.revision))
                return Ok(next.head)
            }
        }
        return Err(PutFailure.Contention)
    }

    /** Finds out whether a put whose answer was lost has taken effect. */
    private fun resolveLostAnswer(
        next: ConfigurationHead,
        put: ConfigurationPut,
        failure: StoreFailure,
    ): Result<ConfigurationHead, PutFailure> {
        val head = loadHead().getOrElse { return Err(PutFailure.Store(failure)) }.head
        val accepted = put.sections.keys.all { head.sections[it] == next.sections[it] }
        return if (accepted) Ok(next) else Err(PutFailure.Store(failure))
    }

    /** The change records with revisions above [revision], oldest first. */
    fun changesAfter(revision: Long): Result<List<ConfigurationChange>, StoreFailure> {
        val read = store.readPrefix(ConfigurationKeys.CHANGES_PREFIX).getOrElse { return Err(it) }
        return Ok(read.entries.map { Json.decodeFromString<ConfigurationChange>(it.value) }.filter { it.revision > revision })
    }

    private fun loadHead(): Result<VersionedHead, StoreFailure> {
        val entry =
            store
                .read(ConfigurationKeys.HEAD)
                .getOrElse { return Err(it) }
                .entries
                .firstOrNull()
        return Ok(
            VersionedHead(
                head = entry?.let { Json.decodeFromString(it.value) } ?: ConfigurationHead(),
                condition =
                    entry?.let { Condition.ModifiedAt(ConfigurationKeys.HEAD, it.modifyRevision) }
                        ?: Condition.Absent(ConfigurationKeys.HEAD),
            ),
        )
    }

    private fun transaction(
        put: ConfigurationPut,
        current: StoredConfiguration,
        next: StoredConfiguration,
        headCondition: Condition,
    ): Transaction {
        val change =
            ConfigurationChange(
                revision = next.head.revision,
                author = put.author,
                time = next.head.sections.getValue(put.sections.keys.first()).time,
                sections = put.sections.mapValues { (section, entries) -> diffSection(current.sections[section].orEmpty(), entries) },
            )
        val shardWrites =
            put.sections.flatMap { (section, entries) -> shardWrites(section, current.sections[section].orEmpty(), entries) }
        val headWrite = Write.Put(ConfigurationKeys.HEAD, Json.encodeToString(next.head))
        val changeWrite = Write.Put(ConfigurationKeys.change(change.revision), Json.encodeToString(change))
        return Transaction(listOf(headCondition), shardWrites + headWrite + changeWrite)
    }

    /** A configuration and the condition that its head has not changed since. */
    private data class VersionedConfiguration(
        val configuration: StoredConfiguration,
        val headCondition: Condition,
    )

    private data class VersionedHead(
        val head: ConfigurationHead,
        val condition: Condition,
    )

    private companion object {
        const val LOAD_ATTEMPTS = 5
        const val PUT_ATTEMPTS = 10
    }
}

/** The text of the change record that this transaction writes. */
private fun Transaction.changeText(revision: Long): String {
    val key = ConfigurationKeys.change(revision)
    return writes.filterIsInstance<Write.Put>().first { it.key == key }.value
}

private fun ConfigurationPut.firstConflict(head: ConfigurationHead): PutFailure.Conflict? =
    sections.keys.firstNotNullOfOrNull { section ->
        head.sections[section]
            ?.takeIf { it.revision != (expectedRevisions[section] ?: 0L) }
            ?.let { PutFailure.Conflict(section, it) }
    }

private fun ConfigurationPut.nextHead(
    head: ConfigurationHead,
    now: Instant,
): ConfigurationHead {
    val revision = head.revision + 1
    return ConfigurationHead(revision, head.sections + sections.keys.associateWith { SectionHead(revision, author, now) })
}

private fun List<JsonObject>.merged(): Map<String, JsonElement> = fold(emptyMap()) { all, shard -> all + shard }

private fun shardWrites(
    section: String,
    old: Map<String, JsonElement>,
    new: Map<String, JsonElement>,
): List<Write> {
    val oldShards = old.entries.groupBy { shardOf(section, it.key) }
    val newShards = new.entries.groupBy { shardOf(section, it.key) }
    return (oldShards.keys + newShards.keys)
        .filter { oldShards[it] != newShards[it] }
        .map { shard ->
            val entries = newShards[shard].orEmpty().associate { it.key to it.value }
            Write.Put(ConfigurationKeys.shard(section, shard), Json.encodeToString(JsonObject(entries)))
        }
}
