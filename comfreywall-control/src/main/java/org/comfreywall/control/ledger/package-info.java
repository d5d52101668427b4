/**
 * Deterministic ledgers of claims and poison requests, embedded in the replicated state
 * machine.
 */
package org.comfreywall.control.ledger;
