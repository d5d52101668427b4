/**
 * Admission control: adaptive concurrency limits, queues with a maximum waiting time, and
 * load shedding.
 */
package org.comfreywall.entry.admit;
