package org.comfreywall.gateway.pool;

/**
 * The group that was chosen for a request.
 *
 * @param index the index of the group among the candidates
 * @param share the share of requests for which it is chosen at present, above 0 and at
 * most 1
 */
record GroupChoice(int index, double share) {
}
