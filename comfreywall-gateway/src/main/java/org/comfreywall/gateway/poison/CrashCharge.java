package org.comfreywall.gateway.poison;

import java.util.List;
import java.util.stream.Stream;

import org.comfreywall.common.util.Preconditions;

/**
 * A request that a backend server ran when it crashed.
 *
 * @param incarnation the incarnation of the server that crashed, as
 * {@code ADDRESS@STARTED}
 * @param request the request's identifier
 * @param sharedParts the parts of its prompt that other requests may share, in order
 * @param fingerprint the digest that repeats of the request share
 * @param begun whether its response had begun
 * @param at when its connection broke, in nanoseconds
 * @param account the client account that sent it; empty if it is not known
 */
public record CrashCharge(String incarnation, String request, List<String> sharedParts, String fingerprint,
		boolean begun, long at, String account) {

	/** Maximum number of parts that are stored. */
	private static final int MAX_PARTS = 16;

	/** Maximum length in characters of a text that a caller chooses. */
	private static final int MAX_LENGTH = 64;

	public CrashCharge {
		Preconditions.notNull(account, "account");
		Preconditions.notBlank(incarnation, "incarnation");
		Preconditions.notNull(request, "request");
		sharedParts = List.copyOf(Preconditions.notNull(sharedParts, "sharedParts"));
		Preconditions.notBlank(fingerprint, "fingerprint");
	}

	/**
	 * Creates a charge of an unknown client account.
	 * @param incarnation the incarnation of the server that crashed
	 * @param request the request's identifier
	 * @param sharedParts the parts of its prompt that other requests may share, in order
	 * @param fingerprint the digest that repeats of the request share
	 * @param begun whether its response had begun
	 * @param at when its connection broke, in nanoseconds
	 */
	public CrashCharge(String incarnation, String request, List<String> sharedParts, String fingerprint, boolean begun,
			long at) {
		this(incarnation, request, sharedParts, fingerprint, begun, at, "");
	}

	// Returns a charge of bounded size. The fingerprint, which callers do not choose,
	// stays whole, so the request itself can always be recognised.
	CrashCharge bounded() {
		List<String> parts = this.sharedParts.stream()
			.filter((part) -> part.length() <= MAX_LENGTH)
			.limit(MAX_PARTS)
			.toList();
		String identifier = this.request.substring(0, Math.min(MAX_LENGTH, this.request.length()));
		return new CrashCharge(this.incarnation, identifier, parts, this.fingerprint, this.begun, this.at,
				this.account);
	}

	CrashCharge withTime(long changed) {
		return new CrashCharge(this.incarnation, this.request, this.sharedParts, this.fingerprint, this.begun, changed,
				this.account);
	}

	static String incarnation(String server, long startedMillis) {
		return server + "@" + startedMillis;
	}

	boolean hasTrait(String trait) {
		return this.fingerprint.equals(trait) || this.sharedParts.contains(trait);
	}

	Stream<String> traits() {
		return Stream.concat(this.sharedParts.stream(), Stream.of(this.fingerprint));
	}

	// Returns the key by which entries recognise the same charge.
	String key() {
		return this.incarnation + " " + this.request;
	}

	// Returns whether a restart of a server confirms that this incarnation has crashed.
	boolean isEndedBy(String server, long startedMillis) {
		int end = this.incarnation.lastIndexOf('@');
		return end >= 0 && this.incarnation.substring(0, end).equals(server) && started(end) < startedMillis;
	}

	private long started(int end) {
		String started = this.incarnation.substring(end + 1);
		return started.matches("-?\\d{1,18}") ? Long.parseLong(started) : Long.MAX_VALUE;
	}

}
