package org.comfreywall.control.member;

import org.comfreywall.control.spread.Peer;
import org.comfreywall.control.spread.ProbeRequest;

/**
 * A probe request and the node that must execute it.
 *
 * @param prober the node that executes the probe
 * @param request the request
 */
record ProbeAssignment(Peer prober, ProbeRequest request) {

}
