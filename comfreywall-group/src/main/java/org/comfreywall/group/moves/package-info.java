/**
 * Scheduling of expert weight reads within the rate limit of the weight store.
 */
package org.comfreywall.group.moves;
