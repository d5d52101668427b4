/**
 * The replicated log as a pure decision core.
 */
package org.comfreywall.control.log;
