package org.comfreywall.sidecar.attempt;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.id.RequestId;

/**
 * Bounded in-memory store of attempts.
 * <p>
 * An attempt carries the window in which its target was selected, which is never later
 * than the window in which it ends. An ended attempt expires once the window in which it
 * ended is past retention. From then on an unknown attempt of that window or an earlier
 * one may be an expired one, so it is neither run nor reported as not run. The fact that
 * a claimed request started is kept for the claim retention. If a seal does not fit into
 * the store, the current window is closed instead: no unknown attempt of that window or
 * an earlier one is run.
 */
final class AttemptStore {

	private final AttemptRegistrySettings settings;

	/** The latest attempt of each request, bounded by the capacity. */
	private final Map<RequestId, AttemptRecord> records = new HashMap<>();

	/** Ended attempts in the order in which they ended. */
	private final Map<RequestId, AttemptRecord> endedAttempts = new LinkedHashMap<>();

	/**
	 * End time of each claimed request whose attempt has expired, in nanoseconds; bounded
	 * by the claim capacity.
	 */
	private final Map<RequestId, Long> startedClaims = new LinkedHashMap<>();

	/** Ended attempts with a stored answer, in the order in which they ended. */
	private final Set<AttemptRecord> answers = new LinkedHashSet<>();

	private long storedBytes;

	private long latestExpiredWindow = -1;

	private long closedWindow = -1;

	private long window;

	AttemptStore(AttemptRegistrySettings settings) {
		this.settings = settings;
	}

	long window() {
		return this.window;
	}

	Optional<AttemptRecord> find(RequestId request) {
		return Optional.ofNullable(this.records.get(request));
	}

	boolean hasStartedClaim(RequestId request) {
		return this.startedClaims.containsKey(request);
	}

	// An unknown attempt of such a window may have run and expired. A window later than
	// the current one is treated in the same way.
	boolean mayHaveExpired(long attemptWindow) {
		return attemptWindow <= this.latestExpiredWindow || attemptWindow > this.window;
	}

	// Unknown attempts of such a window are never run.
	boolean isClosed(long attemptWindow) {
		return attemptWindow <= this.closedWindow;
	}

	boolean hasRoom(boolean claimed) {
		int claims = this.startedClaims.size() + this.records.size();
		return this.records.size() < this.settings.capacity() && (!claimed || claims < this.settings.claimCapacity());
	}

	void put(AttemptRecord record) {
		RequestId request = record.attempt().request();
		AttemptRecord earlier = this.records.put(request, record);
		this.endedAttempts.remove(request);
		if (earlier != null) {
			dropAnswer(earlier);
		}
	}

	void storeSeal(AttemptRecord sealed, long now) {
		if (this.records.size() < this.settings.capacity() || this.records.containsKey(sealed.attempt().request())) {
			put(sealed);
			markEnded(sealed, now);
		}
		else {
			this.closedWindow = this.window;
			this.window++;
		}
	}

	void markEnded(AttemptRecord record, long now) {
		record.markEnded(now, this.window);
		this.endedAttempts.put(record.attempt().request(), record);
		if (record.storedBytes() > 0) {
			this.answers.add(record);
		}
	}

	long addPart(AttemptRecord record, AnswerPart part) {
		evictAnswers(part.size());
		long before = record.storedBytes();
		long sequence = record.addPart(part, this.storedBytes + part.size() <= this.settings.maxStoredBytes());
		this.storedBytes += record.storedBytes() - before;
		return sequence;
	}

	void advance(long windowByTime, long now) {
		this.window = Math.max(this.window, windowByTime);
		Iterator<AttemptRecord> oldest = this.endedAttempts.values().iterator();
		while (oldest.hasNext()) {
			AttemptRecord record = oldest.next();
			if (record.endedWindow() + this.settings.retainedWindows() >= this.window) {
				break;
			}
			oldest.remove();
			expire(record);
		}
		long expiredUpTo = now - this.settings.claimRetention().toNanos();
		Iterator<Long> claims = this.startedClaims.values().iterator();
		while (claims.hasNext() && claims.next() <= expiredUpTo) {
			claims.remove();
		}
	}

	Collection<AttemptRecord> endedAttempts() {
		return this.endedAttempts.values();
	}

	private void expire(AttemptRecord record) {
		RequestId request = record.attempt().request();
		this.records.remove(request);
		dropAnswer(record);
		this.latestExpiredWindow = Math.max(this.latestExpiredWindow, record.endedWindow());
		if (record.isStartedClaim()) {
			this.startedClaims.put(request, record.endedAt());
		}
	}

	private void dropAnswer(AttemptRecord record) {
		this.storedBytes -= record.storedBytes();
		this.answers.remove(record);
		record.dropParts();
	}

	private void evictAnswers(int bytes) {
		while (this.storedBytes + bytes > this.settings.maxStoredBytes() && !this.answers.isEmpty()) {
			dropAnswer(this.answers.iterator().next());
		}
	}

}
