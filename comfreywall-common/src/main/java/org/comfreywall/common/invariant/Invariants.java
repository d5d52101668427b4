package org.comfreywall.common.invariant;

import java.util.concurrent.atomic.LongAdder;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.util.Preconditions;

/**
 * Checks invariants of decision logic at run time.
 * <p>
 * A violation is counted and logged but not thrown: the caller must then skip the action.
 */
public final class Invariants {

	private static final EventLog LOG = EventLog.of(Invariants.class);

	private final LongAdder violations = new LongAdder();

	/**
	 * Checks one invariant.
	 * @param condition the invariant's condition
	 * @param name the invariant's name, in lower case with dashes
	 * @param fields the observed values, logged with a violation
	 * @return {@code true} if the invariant holds and the action may proceed
	 */
	public boolean holds(boolean condition, String name, Field... fields) {
		Preconditions.notBlank(name, "name");
		if (!condition) {
			this.violations.increment();
			LOG.error("invariant-breached", prependName(name, fields));
		}
		return condition;
	}

	/**
	 * Returns the number of violations since this object was created.
	 * @return the count
	 */
	public long violations() {
		return this.violations.sum();
	}

	private static Field[] prependName(String name, Field[] fields) {
		Field[] all = new Field[fields.length + 1];
		all[0] = Field.of("invariant", name);
		System.arraycopy(fields, 0, all, 1, fields.length);
		return all;
	}

}
