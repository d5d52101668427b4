/**
 * Identifiers, results, settings, clocks, metrics and logs shared by every module.
 */
package org.comfreywall.common;
