/**
 * Typed identifiers and numbers.
 */
package org.comfreywall.common.id;
