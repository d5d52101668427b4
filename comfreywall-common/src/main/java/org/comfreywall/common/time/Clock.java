package org.comfreywall.common.time;

/**
 * A monotonic clock.
 */
@FunctionalInterface
public interface Clock {

	/**
	 * Returns the current reading.
	 * @return nanoseconds since an arbitrary origin; never decreases
	 */
	long nanoTime();

	/**
	 * Returns the system's monotonic clock.
	 * @return the clock
	 */
	static Clock system() {
		return System::nanoTime;
	}

}
