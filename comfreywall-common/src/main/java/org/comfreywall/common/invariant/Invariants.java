package org.comfreywall.common.invariant;

import java.util.concurrent.atomic.LongAdder;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.util.Preconditions;

/**
 * Checks invariants inside the decision cores.
 * <p>
 * A breach is counted and logged; the caller must refuse the unsafe action.
 */
public final class Invariants {

	private static final EventLog LOG = EventLog.of(Invariants.class);

	private final LongAdder breaches = new LongAdder();

	/**
	 * Checks one invariant.
	 * @param condition the condition that must hold
	 * @param name the invariant's name, in lower case with dashes
	 * @param fields what was seen
	 * @return {@code true} if the condition holds and the action may go on
	 */
	public boolean holds(boolean condition, String name, Field... fields) {
		Preconditions.notBlank(name, "name");
		if (!condition) {
			this.breaches.increment();
			LOG.error("invariant-breached", withName(name, fields));
		}
		return condition;
	}

	/**
	 * Returns the number of breaches so far.
	 * @return the count
	 */
	public long breaches() {
		return this.breaches.sum();
	}

	private static Field[] withName(String name, Field[] fields) {
		Field[] all = new Field[fields.length + 1];
		all[0] = Field.of("invariant", name);
		System.arraycopy(fields, 0, all, 1, fields.length);
		return all;
	}

}
