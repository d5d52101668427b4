/**
 * Structured records of decisions.
 */
package org.comfreywall.common.decision;
