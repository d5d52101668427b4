/**
 * Measurements of the decision cores.
 */
package org.comfreywall.bench;
