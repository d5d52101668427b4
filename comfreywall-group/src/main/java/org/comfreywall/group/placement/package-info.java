/**
 * Popularity forecasts and placement planning for the replicas of experts.
 */
package org.comfreywall.group.placement;
