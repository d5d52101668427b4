package org.comfreywall.entry.route;

/**
 * A selected candidate.
 *
 * @param candidate the candidate
 * @param equal the number of candidates that counted as equal
 * @param bySession whether the session's server was kept
 */
record Selection(Candidate candidate, int equal, boolean bySession) {

}
