/**
 * Requests that crash the backend servers running them.
 */
package org.comfreywall.common.poison;
