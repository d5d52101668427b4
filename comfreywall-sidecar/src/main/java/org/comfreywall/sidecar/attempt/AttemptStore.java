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
 * Bounded memory of attempts.
 * <p>
 * Attempts carry the window in which their target was chosen, which is never later than
 * the window in which they end. An ended attempt is forgotten only when its window is
 * past retention; from then on, attempts of that window or an older one that are not
 * remembered are neither run nor said not to have run. That a claimed request started is
 * remembered for the retention of claims. When a record cannot be kept, the window is
 * closed instead: no unknown attempt of that window or an older one is run.
 */
final class AttemptStore {

	private final AttemptRegistrySettings settings;

	/** The latest attempt of each request; at most the capacity. */
	private final Map<RequestId, AttemptRecord> records = new HashMap<>();

	/** Ended attempts in the order of their end. */
	private final Map<RequestId, AttemptRecord> ended = new LinkedHashMap<>();

	/** When claimed requests past their windows ended; at most the claim capacity. */
	private final Map<RequestId, Long> ranClaims = new LinkedHashMap<>();

	/** Ended attempts whose answers are stored, in the order of their end. */
	private final Set<AttemptRecord> answers = new LinkedHashSet<>();

	private long storedBytes;

	private long forgottenWindow = -1;

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

	boolean hasRunClaimed(RequestId request) {
		return this.ranClaims.containsKey(request);
	}

	// An unknown attempt of such a window may have run and been forgotten.
	boolean mayHaveForgotten(long attemptWindow) {
		return attemptWindow <= this.forgottenWindow || attemptWindow > this.window;
	}

	// No unknown attempt of such a window is run any more.
	boolean isClosed(long attemptWindow) {
		return attemptWindow <= this.closedWindow;
	}

	boolean hasRoom(boolean claimed) {
		int claims = this.ranClaims.size() + this.records.size();
		return this.records.size() < this.settings.capacity() && (!claimed || claims < this.settings.claimCapacity());
	}

	void put(AttemptRecord record) {
		RequestId request = record.attempt().request();
		AttemptRecord earlier = this.records.put(request, record);
		this.ended.remove(request);
		if (earlier != null) {
			forgetAnswer(earlier);
		}
	}

	void seal(AttemptRecord sealed, long now) {
		if (this.records.size() < this.settings.capacity() || this.records.containsKey(sealed.attempt().request())) {
			put(sealed);
			end(sealed, now);
		}
		else {
			this.closedWindow = this.window;
			this.window++;
		}
	}

	void end(AttemptRecord record, long now) {
		record.ended(now, this.window);
		this.ended.put(record.attempt().request(), record);
		if (record.storedBytes() > 0) {
			this.answers.add(record);
		}
	}

	long addPart(AttemptRecord record, AnswerPart part) {
		makeRoom(part.size());
		long before = record.storedBytes();
		long sequence = record.add(part, this.storedBytes + part.size() <= this.settings.maxStoredBytes());
		this.storedBytes += record.storedBytes() - before;
		return sequence;
	}

	void advance(long windowByTime, long now) {
		this.window = Math.max(this.window, windowByTime);
		Iterator<AttemptRecord> oldest = this.ended.values().iterator();
		while (oldest.hasNext()) {
			AttemptRecord record = oldest.next();
			if (record.endedWindow() + this.settings.retainedWindows() >= this.window) {
				break;
			}
			oldest.remove();
			forget(record);
		}
		long bound = now - this.settings.claimRetention().toNanos();
		Iterator<Long> claims = this.ranClaims.values().iterator();
		while (claims.hasNext() && claims.next() <= bound) {
			claims.remove();
		}
	}

	Collection<AttemptRecord> ended() {
		return this.ended.values();
	}

	private void forget(AttemptRecord record) {
		RequestId request = record.attempt().request();
		this.records.remove(request);
		forgetAnswer(record);
		this.forgottenWindow = Math.max(this.forgottenWindow, record.endedWindow());
		if (record.ranClaimed()) {
			this.ranClaims.put(request, record.endedAt());
		}
	}

	private void forgetAnswer(AttemptRecord record) {
		this.storedBytes -= record.storedBytes();
		this.answers.remove(record);
		record.drop();
	}

	private void makeRoom(int bytes) {
		while (this.storedBytes + bytes > this.settings.maxStoredBytes() && !this.answers.isEmpty()) {
			forgetAnswer(this.answers.iterator().next());
		}
	}

}
