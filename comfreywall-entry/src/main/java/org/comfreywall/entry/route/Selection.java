package org.comfreywall.entry.route;

/**
 * A selected candidate.
 *
 * @param candidate the candidate
 * @param tiedCandidates the number of candidates tied with it, itself included
 * @param bySessionAffinity whether it was selected by session affinity
 */
record Selection(Candidate candidate, int tiedCandidates, boolean bySessionAffinity) {

}
