/*
 * Validates the whole document: the values of entries and the references between sections. Every violation is reported
 * with its path, so that an operator sees all of them after one submission.
 */
package org.ragwortlever.core.configuration

import org.ragwortlever.core.json.child
import java.net.URI

/** Returns all rule violations of [document]; empty when it can be activated. */
fun validate(document: ConfigurationDocument): List<RuleViolation> = DocumentRules(document).check()

private class DocumentRules(
    private val document: ConfigurationDocument,
) {
    private val violations = ArrayList<RuleViolation>()

    fun check(): List<RuleViolation> {
        document.accounts.forEach { (id, account) -> checkAccount("$.accounts".child(id), account) }
        checkKeys()
        document.classes.forEach { (id, requestClass) -> checkClass("$.classes".child(id), requestClass) }
        checkShares()
        document.routes.forEach { (id, route) -> checkRoute("$.routes".child(id), route) }
        document.models.forEach { (id, model) ->
            rule("$.models.$id.contextTokens", model.contextTokens > 0) { "must be positive" }
        }
        document.zones.forEach { (id, zone) -> rule("$.zones.$id.region", zone.region.isNotBlank()) { "must not be blank" } }
        document.backendServers.forEach { (id, server) -> checkServer("$.backendServers".child(id), server) }
        document.services.forEach { (id, service) -> checkService("$.services".child(id), service) }
        document.limits.forEach { (id, limit) -> checkLimit("$.limits".child(id), limit) }
        document.budgets.forEach { (id, budget) -> checkBudget(id, "$.budgets".child(id), budget) }
        return violations
    }

    private fun checkAccount(
        path: String,
        account: ClientAccount,
    ) {
        account.classes.forEachIndexed { index, id -> reference(path.child("classes").child(index), id, document.classes, "classes") }
        rule(path.child("defaultClass"), account.defaultClass in account.classes) { "must be one of the account's classes" }
        rule(path.child("weight"), account.weight > 0) { "must be positive" }
        account.limit?.let { reference(path.child("limit"), it, document.limits, "limits") }
    }

    private fun checkKeys() {
        val firstUse = HashMap<String, String>()
        document.keys.forEach { (id, key) ->
            val path = "$.keys".child(id)
            reference(path.child("account"), key.account, document.accounts, "accounts")
            rule(path.child("sha256"), SHA256_HEX.matches(key.sha256)) { "must be 64 lower-case hexadecimal digits" }
            val other = firstUse.putIfAbsent(key.sha256, id)
            rule(path.child("sha256"), other == null) { "is already the hash of key $other" }
        }
    }

    private fun checkClass(
        path: String,
        requestClass: RequestClass,
    ) {
        rule(path.child("tier"), requestClass.tier in TIERS) { "must be from ${TIERS.first} to ${TIERS.last}" }
        positive(path.child("firstTokenTargetSeconds"), requestClass.firstTokenTargetSeconds)
        positive(path.child("tokenGapTargetSeconds"), requestClass.tokenGapTargetSeconds)
        positive(path.child("waitSeconds"), requestClass.waitSeconds)
        rule(path.child("minimumShare"), requestClass.minimumShare in 0.0..1.0) { "must be from 0 to 1" }
        requestClass.models.forEachIndexed { index, id -> reference(path.child("models").child(index), id, document.models, "models") }
        requestClass.zones.forEachIndexed { index, id -> reference(path.child("zones").child(index), id, document.zones, "zones") }
    }

    private fun checkShares() {
        val sum = document.classes.values.sumOf { it.minimumShare }
        rule("$.classes", sum <= MAXIMUM_SHARE_SUM) { "the minimum shares add up to $sum; the largest sum is $MAXIMUM_SHARE_SUM" }
    }

    private fun checkRoute(
        path: String,
        route: Route,
    ) {
        reference(path.child("requestClass"), route.requestClass, document.classes, "classes")
        val service = route.pathPrefix.removePrefix(SERVICES_PREFIX).substringBefore('/')
        rule(path.child("pathPrefix"), route.pathPrefix.startsWith(SERVICES_PREFIX) && service in document.services) {
            "must start with $SERVICES_PREFIX and the id of a service"
        }
    }

    private fun checkServer(
        path: String,
        server: BackendServer,
    ) {
        address(path.child("address"), server.address)
        reference(path.child("zone"), server.zone, document.zones, "zones")
        server.models.forEachIndexed { index, id -> reference(path.child("models").child(index), id, document.models, "models") }
        rule(path.child("maxConcurrency"), server.maxConcurrency > 0) { "must be positive" }
        rule(path.child("freshConcurrency"), server.freshConcurrency in 1..server.maxConcurrency) { "must be from 1 to maxConcurrency" }
        rule(path.child("pricePerHour"), server.pricePerHour >= 0) { "must not be negative" }
    }

    private fun checkService(
        path: String,
        service: PlainService,
    ) {
        reference(path.child("requestClass"), service.requestClass, document.classes, "classes")
        rule(path.child("servers"), service.servers.isNotEmpty()) { "must name at least one server" }
        service.servers.forEach { (id, server) ->
            address(path.child("servers").child(id).child("address"), server.address)
            reference(path.child("servers").child(id).child("zone"), server.zone, document.zones, "zones")
        }
        rule(path.child("claimRetentionHours"), service.claimRetentionHours > 0) { "must be positive" }
        service.nonIdempotent.forEachIndexed { index, pattern ->
            val at = path.child("nonIdempotent").child(index)
            rule(at.child("method"), pattern.method in METHODS) { "must be one of ${METHODS.joinToString()}" }
            rule(at.child("pathPrefix"), pattern.pathPrefix.startsWith("/")) { "must start with /" }
        }
    }

    private fun checkLimit(
        path: String,
        limit: AccountLimit,
    ) {
        mapOf(
            "requestsPerMinute" to limit.requestsPerMinute,
            "tokensPerMinute" to limit.tokensPerMinute,
            "concurrentStreams" to limit.concurrentStreams,
        ).forEach { (name, value) -> rule(path.child(name), value == null || value > 0) { "must be positive" } }
    }

    private fun checkBudget(
        id: String,
        path: String,
        budget: Budget,
    ) {
        if (id == RETRY_BUDGET) {
            rule(path.child("fraction"), budget.fraction != null && budget.fraction in 0.0..1.0) { "must be from 0 to 1" }
            return
        }
        reference(path, id, document.zones, "zones")
        rule(path.child("pricePerHour"), budget.pricePerHour != null && budget.pricePerHour >= 0) { "must be given and not negative" }
    }

    private fun address(
        path: String,
        value: String,
    ) {
        val uri = runCatching { URI(value) }.getOrNull()
        rule(path, uri?.scheme in setOf("http", "https") && uri?.host != null) { "must be a URL with http or https and a host" }
    }

    private fun positive(
        path: String,
        value: Double,
    ) = rule(path, value > 0 && value.isFinite()) { "must be positive" }

    private fun reference(
        path: String,
        id: String,
        section: Map<String, *>,
        sectionName: String,
    ) = rule(path, id in section) { "there is no $id in $sectionName" }

    private inline fun rule(
        path: String,
        holds: Boolean,
        text: () -> String,
    ) {
        if (!holds) violations += RuleViolation(path, text())
    }

    private companion object {
        val SHA256_HEX = Regex("[0-9a-f]{64}")
        val METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
        const val SERVICES_PREFIX = "/services/"

        // Leaves capacity for the highest tier when every class uses its minimum share at once.
        const val MAXIMUM_SHARE_SUM = 0.5
    }
}

/** The allowed tiers, the highest first. */
val TIERS: IntRange = 1..5

/** Id of the budget that limits retries. */
const val RETRY_BUDGET: String = "retries"
