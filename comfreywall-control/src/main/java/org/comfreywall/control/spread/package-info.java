/**
 * Dissemination of configuration and membership through a relay tree.
 */
package org.comfreywall.control.spread;
