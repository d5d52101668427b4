/**
 * The replicated log as a deterministic core without I/O.
 */
package org.comfreywall.control.log;
