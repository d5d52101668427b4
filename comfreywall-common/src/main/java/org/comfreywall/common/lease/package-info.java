/**
 * Messages and terms of leased shares of client accounts' limits.
 */
package org.comfreywall.common.lease;
