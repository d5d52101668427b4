/**
 * Replication of configuration and membership to all nodes through a relay tree.
 */
package org.comfreywall.control.spread;
