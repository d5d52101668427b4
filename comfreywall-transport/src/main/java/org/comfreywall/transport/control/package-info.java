/**
 * Client and message codecs for calls to control instances.
 */
package org.comfreywall.transport.control;
