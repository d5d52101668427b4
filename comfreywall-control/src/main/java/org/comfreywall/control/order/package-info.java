/**
 * Orders of the leader to engines, numbered so that older ones can be refused.
 */
package org.comfreywall.control.order;
