/**
 * Typed identifiers and sequence numbers.
 */
package org.comfreywall.common.id;
