/**
 * Immutable, versioned expert maps.
 */
package org.comfreywall.group.map;
