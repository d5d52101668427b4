/**
 * Admission under load: adaptive concurrency, queues bounded in time, and shedding.
 */
package org.comfreywall.entry.admit;
