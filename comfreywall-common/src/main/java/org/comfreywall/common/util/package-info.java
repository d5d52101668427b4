/**
 * Argument checks and immutable byte sequences.
 */
package org.comfreywall.common.util;
