package org.comfreywall.control.member;

import org.comfreywall.control.spread.Peer;
import org.comfreywall.control.spread.ProbeRequest;

/**
 * The assignment of a probe to the node that executes it.
 *
 * @param prober the node that executes the probe
 * @param request the request to send to the prober
 */
record ProbeAssignment(Peer prober, ProbeRequest request) {

}
