/**
 * Command line of the measurements: options, names and reports.
 */
package org.comfreywall.bench;
