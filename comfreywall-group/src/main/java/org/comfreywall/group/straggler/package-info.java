/**
 * Detects slow ranks from step times and decides how to relieve them, and advises changes
 * between prefill and decode.
 */
package org.comfreywall.group.straggler;
