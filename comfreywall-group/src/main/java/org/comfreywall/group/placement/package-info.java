/**
 * Estimates the popularity of experts and plans where their replicas are placed.
 */
package org.comfreywall.group.placement;
