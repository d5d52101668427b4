/**
 * Choice of a backend server by expected time to first token.
 */
package org.comfreywall.entry.route;
