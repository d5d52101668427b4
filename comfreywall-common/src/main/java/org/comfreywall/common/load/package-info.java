/**
 * Estimates of the load of backend servers, without I/O.
 */
package org.comfreywall.common.load;
