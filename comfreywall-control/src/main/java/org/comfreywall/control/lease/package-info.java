/**
 * The grantor's side of limits that are leased to entry instances.
 */
package org.comfreywall.control.lease;
