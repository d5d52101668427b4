/**
 * Sealed results, errors and request outcomes.
 */
package org.comfreywall.common.result;
