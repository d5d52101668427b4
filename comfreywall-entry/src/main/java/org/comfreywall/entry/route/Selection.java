package org.comfreywall.entry.route;

/**
 * A selected candidate.
 *
 * @param candidate the candidate
 * @param equal the number of candidates tied with it, itself included
 * @param bySession whether it was selected by session affinity
 */
record Selection(Candidate candidate, int equal, boolean bySession) {

}
