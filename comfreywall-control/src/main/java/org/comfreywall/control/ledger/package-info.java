/**
 * Deterministic ledgers of idempotency claims and of requests that crash backend servers,
 * replicated by the state machine.
 */
package org.comfreywall.control.ledger;
