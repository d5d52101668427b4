/**
 * The admin HTTP interface.
 */
package org.comfreywall.daemon.admin;
