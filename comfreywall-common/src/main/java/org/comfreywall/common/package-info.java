/**
 * Types shared by all modules: identifiers, results, settings, clocks, metrics and logs.
 */
package org.comfreywall.common;
