/**
 * Orders of the leader to engines, with fencing numbers so that outdated orders are
 * refused.
 */
package org.comfreywall.control.order;
