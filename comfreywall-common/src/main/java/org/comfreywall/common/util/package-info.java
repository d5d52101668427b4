/**
 * Argument checks.
 */
package org.comfreywall.common.util;
