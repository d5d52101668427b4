/**
 * Structured records of decisions and their inputs.
 */
package org.comfreywall.common.decision;
