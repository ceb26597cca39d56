// Package request serves callers' requests at an agent. A request is claimed if
// it may run only once, admitted, and then sent to the backend server over HTTP
// on loopback, or it is forwarded to a peer over HTTP/3. The answer is streamed
// to the caller; an incomplete answer ends as a stream error.
//
// Package core connects the parts:
//
//	claims := claim.New(claim.Options{...})          // add to the node with claim.Kinds;
//	                                                 // pass it every accepted version in order
//	gate := admission.New(admission.Options{...})    // add to the node; pass it the peers' loads
//	h := request.New(request.Options{Claims: claims, Gate: gate, ...})
//	request.NewServer(h, tls, quic)                               // towards callers
//	request.StartPeerServer(stream address, tls, h.PeerHandler()) // towards peers
//
// A planned stop calls Gate.SetLeaving, then the servers' Shutdown, then
// Handler.AwaitConfirmations, and closes the link last.
package request
