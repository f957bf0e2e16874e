/*
 * The configuration document. It has sections that different teams own, each a map from id to entry. Durations are in
 * seconds and shares are fractions of 1, unless a name says otherwise.
 */
package org.ragwortlever.core.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The whole document. An omitted section is empty. */
@Serializable
data class ConfigurationDocument(
    val accounts: Map<String, ClientAccount> = emptyMap(),
    val keys: Map<String, KeyEntry> = emptyMap(),
    val classes: Map<String, RequestClass> = emptyMap(),
    val routes: Map<String, Route> = emptyMap(),
    val models: Map<String, Model> = emptyMap(),
    val zones: Map<String, AvailabilityZone> = emptyMap(),
    val backendServers: Map<String, BackendServer> = emptyMap(),
    val services: Map<String, PlainService> = emptyMap(),
    val limits: Map<String, AccountLimit> = emptyMap(),
    val budgets: Map<String, Budget> = emptyMap(),
)

/**
 * A client account.
 *
 * @property defaultClass class of a request that names none.
 * @property classes classes that the account may use.
 * @property weight share of a class's capacity relative to other accounts.
 * @property limit id of the account's entry in `limits`, if it has one.
 */
@Serializable
data class ClientAccount(
    val defaultClass: String,
    val classes: List<String>,
    val weight: Double = 1.0,
    val limit: String? = null,
)

/** A key of [account]. Only the SHA-256 hash of the key is stored; a [withdrawn] key is no longer accepted. */
@Serializable
data class KeyEntry(
    val account: String,
    val sha256: String,
    val withdrawn: Boolean = false,
)

/**
 * A request class.
 *
 * @property tier 1 (highest) to 5.
 * @property firstTokenTargetSeconds targeted time from arrival to the first token.
 * @property tokenGapTargetSeconds targeted maximum time between two tokens.
 * @property waitSeconds maximum time from arrival to the start of service.
 * @property minimumShare guaranteed fraction of the generated tokens while requests of the class are waiting.
 * @property repeatable whether a request can be retried after a failure.
 * @property models models that the class may use; empty allows all.
 * @property zones availability zones that the class may use; empty allows all.
 */
@Serializable
data class RequestClass(
    val tier: Int,
    val firstTokenTargetSeconds: Double,
    val tokenGapTargetSeconds: Double,
    val waitSeconds: Double,
    val minimumShare: Double = 0.0,
    val repeatable: Boolean = true,
    val models: List<String> = emptyList(),
    val zones: List<String> = emptyList(),
)

/** Opens a path prefix of a plain service to callers without a key; their requests run in [requestClass]. */
@Serializable
data class Route(
    val pathPrefix: String,
    val requestClass: String,
)

/** A model. [contextTokens] is the maximum length of prompt and answer together, in tokens. */
@Serializable
data class Model(
    val contextTokens: Int,
)

/** Whether an availability zone gets new requests. */
@Serializable
enum class ZoneState {
    @SerialName("in-service")
    IN_SERVICE,

    @SerialName("taken-out")
    TAKEN_OUT,
}

/** An availability zone of [region]. */
@Serializable
data class AvailabilityZone(
    val region: String,
    val state: ZoneState = ZoneState.IN_SERVICE,
)

/** Price class of a backend server. The platform can reclaim a cheap server at a few seconds' notice. */
@Serializable
enum class ServerKind {
    @SerialName("standard")
    STANDARD,

    @SerialName("cheap")
    CHEAP,
}

/**
 * A backend server that runs a model engine.
 *
 * @property address base URL.
 * @property maxConcurrency maximum number of concurrent requests on a warm server.
 * @property freshConcurrency maximum number of concurrent requests on a server that has just started.
 * @property pricePerHour price per hour in the currency of the budgets.
 * @property checksFencing whether the server rejects orders with an outdated fencing token.
 * @property leaving whether the server is being drained.
 */
@Serializable
data class BackendServer(
    val address: String,
    val zone: String,
    val models: List<String>,
    val kind: ServerKind = ServerKind.STANDARD,
    val maxConcurrency: Int,
    val freshConcurrency: Int = 1,
    val pricePerHour: Double = 0.0,
    val checksFencing: Boolean = false,
    val leaving: Boolean = false,
)

/**
 * A plain service beside the model engines.
 *
 * @property servers servers that run the service, by id.
 * @property requestClass class of a call that names none.
 * @property nonIdempotent patterns of the calls that must run at most once.
 * @property claimRetentionHours time for which the outcome of a claimed call is kept, in hours.
 * @property requireIdempotencyKey whether a non-idempotent call without an `Idempotency-Key` is refused.
 */
@Serializable
data class PlainService(
    val servers: Map<String, ServiceServer>,
    val requestClass: String,
    val nonIdempotent: List<CallPattern> = emptyList(),
    val claimRetentionHours: Int = 168,
    val requireIdempotencyKey: Boolean = false,
)

/** One server of a plain service; [address] is a base URL. */
@Serializable
data class ServiceServer(
    val address: String,
    val zone: String,
)

/** Matches calls by method and by path prefix, relative to the path of the service. */
@Serializable
data class CallPattern(
    val method: String,
    val pathPrefix: String = "/",
)

/** Limits of a client account, for all entry VMs together; null for no limit. */
@Serializable
data class AccountLimit(
    val requestsPerMinute: Int? = null,
    val tokensPerMinute: Int? = null,
    val concurrentStreams: Int? = null,
)

/**
 * A budget. The one with the id `retries` limits retries to [fraction] of the successes. Any other id names an
 * availability zone, whose backend servers may together cost up to [pricePerHour].
 */
@Serializable
data class Budget(
    val fraction: Double? = null,
    val pricePerHour: Double? = null,
)
