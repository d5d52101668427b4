/**
 * Simulates entries, sidecars and ledgers in virtual time to test request handling, with
 * random faults or by replaying a recorded trace.
 */
package org.comfreywall.bench.request;
