/**
 * Schedules the reads of expert weights under the weight store's rate.
 */
package org.comfreywall.group.moves;
